"""The stand-in of the users' platform itself."""

import json
from unittest.mock import Mock

from testtools import TestCase

from standins.users_platform import RunRecord, _Endpoint


class ClosedEndpointTest(TestCase):
    def test_a_start_that_reaches_a_closed_endpoint_is_no_run(self) -> None:
        """Guards against a test that sees a task run twice, since a start that arrived while its
        endpoint closed was recorded as a run that works."""
        records: list[RunRecord] = []
        endpoint = _Endpoint("i-1", records, 1.0, lambda *start: True, lambda: False)
        endpoint.close()
        body = {"task": "a.0.0.0", "run_id": 1, "fencing_token": 1, "expires_ms": 9_999_999}
        call = Mock(path="/run-start", body=json.dumps(body).encode())
        call.header.return_value = "i-1"
        endpoint._serve(call, endpoint.address)
        call.disconnect.assert_called_once_with(reset=True)
        self.assertEqual([], records)
