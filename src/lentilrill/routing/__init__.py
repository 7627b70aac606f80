"""Schedulers, queues, grants, retries and ejection: where and when a job runs."""

from lentilrill.routing._contract import Decline, Job, Slot, Slots, Where

__all__ = ["Decline", "Job", "Slot", "Slots", "Where"]
