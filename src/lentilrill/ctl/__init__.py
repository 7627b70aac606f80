"""``lentilrillctl``: the operators' command line."""

from lentilrill.ctl._main import main

__all__ = ["main"]
