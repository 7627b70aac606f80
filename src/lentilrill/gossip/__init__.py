"""How members hear of each other, and how the platform's state reaches every process."""

from lentilrill.gossip._heartbeats import Heartbeats
from lentilrill.gossip._recorder import ZoneRecorder, next_record
from lentilrill.gossip._watcher import STATE, Watcher

__all__ = ["STATE", "Heartbeats", "Watcher", "ZoneRecorder", "next_record"]
