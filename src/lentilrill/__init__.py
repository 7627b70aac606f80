"""Fleet capacity and maintenance manager.

Operators edit two lists (plans, and what each plan may use) and declare planned stops. The
packages below turn them into owed hosts, safe withdrawals and exactly answered requests.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
