"""The process of an entry host on the users' platform."""

from lentilrill.entry._process import EntryProcess

__all__ = ["EntryProcess"]
