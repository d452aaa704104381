"""Tests of the choice of entries that an endpoint process connects to."""

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
        'domain': f'domain-{number % 4}',
        'draining': False,
        **changes,
    }
    return messages.EntryInfo(**fields)


def _names(infos):
    return {info.name for info in infos}


class TestChooseEntries:
    def test_is_bounded_and_contains_the_leader(self):
        # Every endpoint process must connect to the leader.
        directory = _directory(40)
        directory.leader = 'entry-33'
        for number in range(50):
            chosen = membership.choose_entries(
                directory, f'e{number}', 'domain-0'
            )
            assert len(chosen) == membership.ENTRIES_PER_ENDPOINT
            assert 'entry-33' in _names(chosen)

    def test_spans_failure_domains(self):
        # Guards against endpoints that lose all entries with one failure
        # domain.
        directory = _directory(40)
        for number in range(50):
            chosen = membership.choose_entries(
                directory, f'e{number}', 'domain-0'
            )
            domains = [info.domain for info in chosen]
            assert domains.count('domain-0') < len(domains)

    def test_loss_of_an_entry_reassigns_few_endpoints(self):
        # Guards against mass reconnection at each restart of an entry.
        directory = _directory(40)
        keys = [f'e{number}' for number in range(200)]
        before = {
            key: _names(membership.choose_entries(directory, key, 'domain-0'))
            for key in keys
        }
        draining = _info(7, draining=True)
        membership.learn(directory, draining, 1.0)
        for key in keys:
            after = _names(
                membership.choose_entries(directory, key, 'domain-0')
            )
            assert len(after - before[key]) <= ('entry-7' in before[key])


class TestDialling:
    def test_backs_off_with_jitter(self):
        # Guards against too many attempts to reach an unreachable entry.
        directory = _directory(0)
        rng = random.Random(1)
        times = []
        now = 0.0
        while now < 60.0:
            if membership.due_dials(directory, [], set(), now, rng):
                times.append(now)
            now += 0.1
        assert 8 <= len(times) <= 40

    def test_stale_entries_are_evicted(self):
        # Guards against dialling entries that have been removed for good.
        directory = _directory(3)
        membership.evict_stale(directory, {'entry-1'}, 100.0)
        assert _names(membership.entries(directory)) == {'entry-1'}
