"""Tests of records in the platform that another program has left."""

import json

from azurepier.etcd import _keys
from azurepier.etcd import _messages
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
    def test_malformed_record(self, fields):
        """Guards against a record that ends the connections of all entries.

        The members are sent in one message, which can't be encoded if a name
        holds a lone surrogate.
        """
        assert decode_info(**fields) is None

    @pytest.mark.parametrize('body', [DEEP, '{"name": %s}' % DEEP, '1e400'])
    def test_malformed_text(self, body):
        """Guards against another exception for a text."""
        assert _records.entry_info_from_json(body.encode()) is None


class TestHistory:
    RECORD = {
        'version': 1,
        'edit_id': 'x',
        'author': 'a',
        'written_at': 1.0,
        'changes': ['c'],
    }

    @pytest.mark.parametrize(
        ('field', 'text'),
        [
            ('version', '1e400'),
            ('version', DEEP),
            ('written_at', '1' + '0' * 400),
            ('written_at', '9' * 5000),
            ('changes', '7'),
        ],
    )
    def test_malformed_record(self, field, text):
        """Guards against a history that can't be shown for one record."""
        body = json.dumps({**self.RECORD, field: None})
        body = body.replace(f'"{field}": null', f'"{field}": {text}')
        assert _records.history_from_json(body.encode()) is None


class TestRanges:
    def test_key_that_is_no_text(self):
        """Guards against entries that are hidden by the key of another."""
        kvs = [
            {'key': _keys.encode(key), 'value': '', 'mod_revision': '3'}
            for key in ('a', 'b')
        ]
        other = {'key': '/w==', 'value': '', 'mod_revision': '3'}
        answer = {'header': {'revision': '9'}, 'kvs': [kvs[0], other, kvs[1]]}
        parsed = _messages.parse_answer('/', _messages.parse_range, answer)
        assert [kv.key for kv in parsed.kvs] == ['a', 'b']

    def test_change_of_a_key_that_is_no_text(self):
        """Guards against a watch that ends for the key of another."""
        event = {
            'kv': {'key': _keys.encode('a'), 'value': '', 'mod_revision': '3'}
        }
        other = {'kv': {'key': '/w==', 'value': '', 'mod_revision': '3'}}
        changes = _messages.parse_changes({'events': [other, event]})
        assert [change.key for change in changes] == ['a']
