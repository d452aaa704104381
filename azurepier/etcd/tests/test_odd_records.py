"""Tests of records in the platform that another program has left."""

import json

from azurepier.etcd import _records
from azurepier.kernel import messages
from azurepier import wire
import pytest

INFO = {
    'name': 'e',
    'incarnation': 'i',
    'address': '10.0.0.1:7000',
    'web_address': 'http://10.0.0.1:80',
    'domain': 'a',
    'draining': False,
}
DEEP = '[' * 100_000 + ']' * 100_000


def decode_info(**fields):
    return _records.entry_info_from_json(json.dumps(INFO | fields).encode())


class TestEntryRecords:
    def test_valid_record(self):
        """Guards against checks that leave out real entries."""
        info = decode_info(domain='', web_address='')
        assert info.address == '10.0.0.1:7000'
        wire.encode(messages.Members(version=1, entries=[info], leader=''))

    @pytest.mark.parametrize(
        'fields',
        [
            {'name': '\ud800'},
            {'domain': '\udfff'},
            {'incarnation': ''},
            {'name': 'x' * 100_000},
            {'web_address': 'a\nb'},
            {'address': '10.0.0.1:70000'},
            {'address': '10.0.0.1:' + '9' * 5000},
            {'address': '10.0.0.1'},
            {'draining': 1},
            {'name': [['x']]},
        ],
    )
    def test_odd_record(self, fields):
        """Guards against a record that ends the connections of all entries.

        The members are sent in one message, which can't be encoded if a name
        holds a lone surrogate.
        """
        assert decode_info(**fields) is None

    @pytest.mark.parametrize('body', [DEEP, '{"name": %s}' % DEEP, '1e400'])
    def test_odd_text(self, body):
        """Guards against another exception for a text."""
        assert _records.entry_info_from_json(body.encode()) is None
