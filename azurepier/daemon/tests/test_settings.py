"""Tests of settings, keys and logs."""

import json
import logging

from click.testing import CliRunner
import pytest

from azurepier.daemon import _keys
from azurepier.daemon import _logs
from azurepier.daemon import _main
from azurepier.daemon import _settings
from azurepier.kernel import SettingsError

ENTRY = """
name = "e1"
domain = "d1"
listen = "127.0.0.1:0"
web_listen = "127.0.0.1:0"
"""
ENDPOINT = """
name = "w1"
worker = "m1"
domain = "d1"
worker_url = "http://127.0.0.1:9000/"
slots = 8
listen_web = "127.0.0.1:0"
seeds = ["127.0.0.1:7100"]
"""
# Invalid settings of an entry, with a part of the expected error.
INVALID = {
    'listen = "127.0.0.1"': 'host:port',
    'listen = "127.0.0.1:70000"': '65535',
    'listen = "0.0.0.0:7100"': 'address: is required',
    'address = "0.0.0.0:7100"': 'cannot connect',
    'address = "h:0"': 'port 0',
    'platform = "ftp://h"': 'http or https',
    'platform = "http://h:99999"': 'Port out of range',
    'seeds = ["h:1", "h:1"]': 'twice',
    'seeds = "h:1"': 'must be a list',
    'log = ""': 'not empty',
    '[tuning]': 'file:5: tuning: is not a setting',
    'key_files = [': 'end of document',
}


def get_problems(cls, body):
    """Return the lines of the error for invalid settings."""
    with pytest.raises(SettingsError) as info:
        _settings.parse(cls, body, 'file')
    return str(info.value).splitlines()


class TestSettings:
    def test_valid(self):
        """Guards against defaults that differ from the documented ones."""
        entry = _settings.parse(_settings.EntrySettings, ENTRY)
        assert (entry.seeds, entry.platform, entry.log) == ((), None, '-')
        endpoint = _settings.parse(_settings.EndpointSettings, ENDPOINT)
        assert endpoint.worker_url == 'http://127.0.0.1:9000'
        assert endpoint.kinds == ()

    def test_all_problems_are_reported(self):
        """Guards against an error that lists only one of the problems."""
        body = ENTRY.replace('"d1"', '7') + 'slots = 3\nseeds = ["x", "y:1"]\n'
        body = body.replace('name = "e1"\n', '')
        locations = [
            line.split(': ')[:2]
            for line in get_problems(_settings.EntrySettings, body)
        ]
        assert locations == [
            ['file:5', 'slots'],
            ['file', 'name'],
            ['file:2', 'domain'],
            ['file:6', 'seeds'],
        ]

    @pytest.mark.parametrize(('line', 'reason'), INVALID.items())
    def test_invalid(self, line, reason):
        """Guards against invalid settings that fail only after startup."""
        key = line.split(' ')[0] + ' ='
        remaining_lines = [
            entry_line
            for entry_line in ENTRY.split('\n')
            if not entry_line.startswith(key)
        ]
        body = '\n'.join([*remaining_lines[1:-1], line])
        assert reason in get_problems(_settings.EntrySettings, body)[0]

    @pytest.mark.parametrize('slots', ['0', 'true', '1.5', '1025'])
    def test_slots(self, slots):
        """Guards against accepting booleans, floats or out-of-range counts."""
        body = ENDPOINT.replace('slots = 8', f'slots = {slots}')
        problems = get_problems(_settings.EndpointSettings, body)
        assert problems == [
            'file:6: slots: must be an integer from 1 to 1024, not '
            f'{slots.capitalize()}'
        ]

    @pytest.mark.parametrize(
        ('body', 'code', 'text'),
        [
            (ENTRY, 0, 'valid settings of an entry'),
            (ENDPOINT, 0, 'valid settings of an endpoint'),
            (ENDPOINT.replace('seeds', '#'), 2, 'seeds: must not be empty'),
            (ENDPOINT + 'key_files = ["none"]', 2, ':9: key_files: none'),
        ],
    )
    def test_check_command(self, tmp_path, body, code, text):
        """Guards against a `check` that accepts what startup rejects."""
        path = tmp_path / 'settings.toml'
        path.write_text(body)
        result = CliRunner().invoke(_main.main, ['check', str(path)])
        assert result.exit_code == code
        assert text in result.output


class TestKeys:
    def test_reload(self, tmp_path):
        """Guards against losing the active keys when a key file is invalid."""
        path = tmp_path / 'key'
        path.write_text('0123456789abcdef\n')
        keys = _keys.Keys((str(path),))
        keys.reload()
        path.write_text('short')
        with pytest.raises(SettingsError, match='16 to 4096'):
            keys.reload()
        assert keys.current == (b'0123456789abcdef',)


class TestLogs:
    def test_repetitions_are_limited(self, tmp_path):
        """Guards against a permanent fault that fills the log."""
        now = [0.0]
        path = tmp_path / 'log'
        handler = _logs.make_handler(str(path))
        handler.filters[0] = _logs.RepetitionFilter(clock=lambda: now[0])
        logger = logging.Logger('test')
        logger.addHandler(handler)
        for at in [0.0] * 20 + [11.0]:
            now[0] = at
            logger.warning('down', extra={'reason': 'r1'})
            logger.info('normal')
        logger.warning('down', extra={'reason': 'r2'})
        handler.close()
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        repeated = [line for line in lines if line['event'] == 'down']
        assert len(repeated) == _logs.MAX_REPETITIONS + 2
        assert [line.get('suppressed') for line in repeated[-2:]] == [15, None]
        assert sum(line['event'] == 'normal' for line in lines) == 21

    def test_ports_of_one_client(self):
        """Guards against a client that fills the log from many ports."""
        repetition_filter = _logs.RepetitionFilter()
        written = 0
        for port in range(1000):
            fields = {'levelno': logging.WARNING, 'reason': 'malformed'}
            record = logging.makeLogRecord(
                {**fields, 'address': f'10.0.0.1:{port}'}
            )
            written += repetition_filter.filter(record)
        assert written == _logs.MAX_REPETITIONS

    def test_memory_is_bounded(self):
        """Guards against unbounded memory if each fault text is different."""
        repetition_filter = _logs.RepetitionFilter()
        for number in range(3 * _logs.MAX_TRACKED_FAULTS):
            fields = {'levelno': logging.ERROR, 'reason': number}
            assert repetition_filter.filter(logging.makeLogRecord(fields))
        assert len(repetition_filter._faults) == _logs.MAX_TRACKED_FAULTS
