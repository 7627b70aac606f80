"""One entry host on the users' platform: all of its parts in one process."""

from lentilrill.entry._process import EntryProcess

__all__ = ["EntryProcess"]
