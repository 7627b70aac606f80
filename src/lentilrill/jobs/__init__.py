"""Claims of idempotency keys and recorded outcomes of jobs."""

from lentilrill.jobs._client import ClaimClient
from lentilrill.jobs._contract import Claim, ClaimResult, Claims, RecordedResponse
from lentilrill.jobs._owner import ClaimOwner

__all__ = ["Claim", "ClaimClient", "ClaimOwner", "ClaimResult", "Claims", "RecordedResponse"]
