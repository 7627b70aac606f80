"""The assembly of an entry host."""

from testtools import TestCase

from lentilrill.entry import EntryProcess
from lentilrill.ids import ProcessId, ZoneId
from lentilrill.settings import EntrySettings, StoreSettings
from tests.builders import an_address


class EntryProcessTest(TestCase):
    def test_a_host_without_an_address_of_the_list_of_hosts_starts(self) -> None:
        """An entry host ended at its start where no list of hosts is configured."""
        settings = EntrySettings(
            process=ProcessId("front-1"),
            zone=ZoneId("holyoke"),
            callers=an_address(),
            readiness=an_address(),
            inner=an_address(),
            metrics=an_address(),
            store=StoreSettings(address=an_address()),
        )
        self.assertFalse(EntryProcess(settings).ready)
