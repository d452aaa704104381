"""Which entries an endpoint process connects to."""

import random

from azurepier.kernel import messages
from azurepier import membership


def _directory(count):
    directory = membership.Directory(seeds=('seed:1',))
    for number in range(count):
        membership.learn(directory, _info(number), 0.0)
    return directory


def _info(number, **changes):
    fields = {
        'name': f'entry-{number}',
        'incarnation': f'i{number}',
        'address': f'entry-{number}:1',
        'web_address': '',
        'domain': f'zone-{number % 4}',
        'draining': False,
        **changes,
    }
    return messages.EntryInfo(**fields)


def _names(infos):
    return {info.name for info in infos}


class TestSubset:
    def test_is_bounded_and_contains_the_leader(self):
        # Guards against a leader that reaches only some endpoints.
        directory = _directory(40)
        directory.leader = 'entry-33'
        for number in range(50):
            chosen = membership.choose_entries(
                directory, f'e{number}', 'zone-0'
            )
            assert len(chosen) == membership.ENTRIES_PER_ENDPOINT
            assert 'entry-33' in _names(chosen)

    def test_spans_failure_domains(self):
        # Guards against endpoints that lose all entries with one domain.
        directory = _directory(40)
        for number in range(50):
            chosen = membership.choose_entries(
                directory, f'e{number}', 'zone-0'
            )
            domains = [info.domain for info in chosen]
            assert domains.count('zone-0') < len(domains)

    def test_changes_little_when_an_entry_goes(self):
        # Guards against a storm of connections on each restart.
        directory = _directory(40)
        keys = [f'e{number}' for number in range(200)]
        before = {
            key: _names(membership.choose_entries(directory, key, 'zone-0'))
            for key in keys
        }
        gone = _info(7, draining=True)
        membership.learn(directory, gone, 1.0)
        for key in keys:
            after = _names(membership.choose_entries(directory, key, 'zone-0'))
            assert len(after - before[key]) <= ('entry-7' in before[key])


class TestDialling:
    def test_backs_off_and_spreads(self):
        # Guards against a flood of connections to an entry that is down.
        directory = _directory(0)
        rng = random.Random(1)
        times = []
        now = 0.0
        while now < 60.0:
            if membership.due_dials(directory, [], set(), now, rng):
                times.append(now)
            now += 0.1
        assert 8 <= len(times) <= 40

    def test_forgets_what_nobody_sees(self):
        # Guards against dialling entries that are gone for good.
        directory = _directory(3)
        membership.evict_stale(directory, {'entry-1'}, 100.0)
        assert _names(membership.entries(directory)) == {'entry-1'}
