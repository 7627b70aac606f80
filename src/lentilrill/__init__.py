"""Fleet capacity and maintenance manager.

Operators edit two lists (plans, and what each plan may use) and declare planned stops. The
subpackages assign hosts to plans, withdraw hosts safely, and answer callers' requests.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
