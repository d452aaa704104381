"""Tests of the choice of connections and of the gossip about entries."""

import collections
import random

from azurepier import membership

ENTRIES = 35
DOMAINS = 5


def _address(number):
    return f'10.{number % DOMAINS}.0.{number}:7000'


def _roster(name='w0', domain='d0', count=ENTRIES, own='', seeds=()):
    roster = membership.Roster(name, domain, seeds, own)
    for number in range(count):
        roster.learn(_address(number), f'd{number % DOMAINS}', 0.0)
    return roster


def _fail(roster, address, times, now=0.0):
    """Let attempts to connect to an address fail."""
    rng = random.Random(1)
    for attempt in range(times):
        assert roster.due_dials([address], set(), now + 10.0 * attempt, rng)


class TestEntriesForEndpoint:
    def test_bounded(self):
        """Guards against a full mesh of connections."""
        for count in (3, 6, 35, 200):
            wanted, probed = membership.entries_for_endpoint(
                _roster(count=count), set()
            )
            assert len(wanted) == min(count, membership.LINKS_PER_ENDPOINT)
            assert probed == []

    def test_spread_evenly(self):
        """Guards against entries with no endpoints or with too many."""
        found = collections.Counter()
        for number in range(160):
            domain = f'd{number % DOMAINS}'
            wanted, _ = membership.entries_for_endpoint(
                _roster(f'w{number}', domain), set()
            )
            found.update(wanted)
        mean = 160 * membership.LINKS_PER_ENDPOINT / ENTRIES
        assert len(found) == ENTRIES
        assert min(found.values()) > mean / 2
        assert max(found.values()) < mean * 1.6

    def test_spans_failure_domains(self):
        """Endpoints must also connect to entries outside their domain."""
        for number in range(50):
            roster = _roster(f'w{number}')
            wanted, _ = membership.entries_for_endpoint(roster, set())
            local = [a for a in wanted if roster.known[a].domain == 'd0']
            assert len(local) == membership.LINKS_PER_ENDPOINT // 2

    def test_loss_of_an_entry_reassigns_few_endpoints(self):
        """Guards against mass reconnection when an entry is lost."""
        lost = _address(7)
        moved = 0
        for number in range(160):
            roster = _roster(f'w{number}')
            before, _ = membership.entries_for_endpoint(roster, set())
            _fail(roster, lost, 3)
            after, probed = membership.entries_for_endpoint(roster, set())
            moved += len(set(after) - set(before))
            assert (lost in before) == (lost in probed)
        assert moved < 160 * membership.LINKS_PER_ENDPOINT / 10

    def test_unreachable_entry_is_replaced_within_a_second(self):
        """Guards against too few connections while an entry is unreachable."""
        roster = _roster()
        wanted, _ = membership.entries_for_endpoint(roster, set())
        connected = set(wanted[1:])
        rng = random.Random(1)
        now = 0.0
        while roster.is_unreachable(wanted[0]) is False and now < 5.0:
            roster.due_dials(wanted, connected, now, rng)
            now += 0.25
        assert now <= 1.0
        after, probed = membership.entries_for_endpoint(roster, connected)
        assert len(after) == membership.LINKS_PER_ENDPOINT
        assert probed == [wanted[0]]

    def test_all_entries_unreachable(self):
        """Guards against too many attempts while no entry can be reached."""
        roster = _roster()
        for number in range(ENTRIES):
            _fail(roster, _address(number), 8)
        wanted, probed = membership.entries_for_endpoint(roster, set())
        assert wanted == []
        assert len(probed) == membership.LINKS_PER_ENDPOINT
        rng = random.Random(1)
        dials = sum(
            len(roster.due_dials(probed, set(), 1000.0 + tick / 4, rng))
            for tick in range(40)
        )
        assert dials <= membership.LINKS_PER_ENDPOINT * 10

    def test_seeds_until_the_first_connection(self):
        """Guards against a process that never connects.

        The known addresses may be stale, so the seeds are dialled as well
        until the first connection.
        """
        roster = _roster(count=0, seeds=('seed:1',))
        assert membership.entries_for_endpoint(roster, set()) == (
            [],
            ['seed:1'],
        )
        roster.learn(_address(0), 'd0', 0.0)
        assert 'seed:1' in membership.entries_for_endpoint(roster, set())[1]
        assert (
            'seed:1'
            not in membership.entries_for_endpoint(roster, {_address(0)})[1]
        )


class TestPeersForEntry:
    def test_all_entries_are_connected(self):
        """Guards against a partition of the entries and long gossip paths."""
        links = collections.defaultdict(set)
        for number in range(ENTRIES):
            own = _address(number)
            roster = _roster(f'e{number}', own=own)
            chosen = membership.peers_for_entry(roster)
            assert own not in chosen
            assert len(chosen) <= membership.EXTRA_PEERS + 1
            for address in chosen:
                links[own].add(address)
                links[address].add(own)
        reached, frontier, steps = {_address(0)}, {_address(0)}, 0
        while frontier:
            frontier = set().union(*map(links.get, frontier)) - reached
            reached |= frontier
            steps += 1
        assert len(reached) == ENTRIES
        assert steps <= 6

    def test_skips_unreachable_entries(self):
        """The ring of entries must skip unreachable ones."""
        roster = _roster('e0', own=_address(0))
        successor = membership.peers_for_entry(roster)[0]
        _fail(roster, successor, 3)
        chosen = membership.peers_for_entry(roster)
        assert successor not in chosen
        assert chosen[0] > successor


class TestGossip:
    def test_an_entry_that_has_left_expires(self):
        """Entries must stop gossiping the address of an entry that has left.

        The age of the information is passed on too, so that repeating it
        does not renew it.
        """
        rosters = [_roster(f'e{n}', own=_address(n)) for n in range(3)]
        left = _address(20)
        now = 0.0
        while now < 60.0:
            now += 1.0
            for sender in rosters:
                for receiver in rosters:
                    for address, domain, age_s in sender.ages(now):
                        receiver.learn(address, domain, now - age_s)
                    receiver.expire(now)
        assert all(left not in roster.known for roster in rosters)

    def test_a_live_entry_is_kept(self):
        """A live entry must not expire at entries not connected to it."""
        first, second = _roster('e0', count=2), _roster('e1', count=2)
        address = _address(1)
        for tick in range(20):
            now = tick * membership.GOSSIP_REFRESH_S
            first.learn(address, 'd1', now)
            for each, domain, age_s in first.ages(now):
                second.learn(each, domain, now - age_s)
            second.expire(now)
        assert address in second.known
        assert _address(0) not in second.known

    def test_version_grows_with_changes_only(self):
        """Unchanged information must not increment the version."""
        roster = _roster(count=2)
        version = roster.version
        roster.learn(_address(0), 'd0', 5.0)
        roster.expire(5.0)
        assert roster.version == version
        roster.learn(_address(9), 'd0', 5.0)
        assert roster.version > version
