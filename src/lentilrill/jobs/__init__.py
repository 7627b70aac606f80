"""Outcomes of jobs and claims of idempotency keys."""

from lentilrill.jobs._contract import Claim, ClaimResult, Claims, Recorded

__all__ = ["Claim", "ClaimResult", "Claims", "Recorded"]
