"""Failure detection by heartbeats, and replication of the platform's state to every process."""

from lentilrill.gossip._heartbeats import Heartbeats
from lentilrill.gossip._recorder import ZoneRecorder, next_record
from lentilrill.gossip._watcher import STATE, Watcher

__all__ = ["STATE", "Heartbeats", "Watcher", "ZoneRecorder", "next_record"]
