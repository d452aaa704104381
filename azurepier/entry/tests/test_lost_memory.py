"""Tests of conclusions from records that the other side has dropped."""

from azurepier.endpoint import _retention
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import membership
from azurepier import testing


def _run(fleet, seconds):
    fleet.driver.run_until(fleet.driver.now + seconds)


def _cut(fleet, seconds):
    """Cut the first entry off the first endpoint process for a time."""
    entry, endpoint = fleet.entries[0], fleet.endpoints[0]
    fleet.driver.partition(entry, endpoint)
    _run(fleet, seconds)
    fleet.driver.heal(entry, endpoint)


class TestReturningEndpoint:
    """An endpoint process returns after the entry has removed it."""

    def test_old_runs_do_not_end_new_ones(self):
        # Guards against numbering starts from 1 again, so that the outcome of
        # a run before the cut is taken for that of a run after it.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        old = fleet.submit(0, testing.spec([9000] * 4, deadline_ms=30_000))
        _run(fleet, 0.1)
        _cut(fleet, 8.0)
        assert fleet.answer(0, old).type == 'task-lost'
        _run(fleet, 0.5)
        specs = [
            testing.spec([3000 + n], deadline_ms=30_000) for n in range(4)
        ]
        requests = [fleet.submit(0, spec) for spec in specs]
        _run(fleet, 25.0)
        for spec, req in zip(specs, requests):
            answer = fleet.answer(0, req)
            assert isinstance(answer, kernel.Complete), answer
            testing.check_job(fleet, spec, answer)

    def test_runs_that_were_given_up_are_stopped(self):
        # Guards against slots that are occupied, up to the deadline, by runs
        # whose jobs have been answered.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        req = fleet.submit(0, testing.spec([25_000] * 6, deadline_ms=60_000))
        _run(fleet, 0.1)
        _cut(fleet, 8.0)
        assert fleet.answer(0, req).type == 'task-lost'
        _run(fleet, 2.0)
        assert not fleet.endpoints[0].node.running


def _is_tick(event):
    return isinstance(event, events.Tick)


def _freeze(fleet, process, seconds):
    """Freeze a process; afterwards it reads its connections first.

    So its records of when it last heard from others are recent, as they are
    too when its machine was suspended and its clock didn't count.
    """
    fleet.driver.freeze(process)
    _run(fleet, seconds)
    process.inbox.sort(key=_is_tick)
    fleet.driver.thaw(process)


def _connect_again(fleet, dialer, address, count):
    """Open several connections at once; each replaces the one before."""
    dial = fleet.driver.effect_handlers[effects.Dial]
    for _ in range(count):
        dial(fleet.driver, dialer, effects.Dial(address))


class TestForgottenEntry:
    """An entry returns after an endpoint process has dropped its records."""

    def test_replaced_connections_prove_nothing(self):
        # Guards against a second run: the report that said that the records
        # were dropped is lost with its connection, and the next report says
        # that the starts never arrived.
        fleet = testing.make_fleet(entries=1, speeds=(1.0, 1.0))
        entry = fleet.entries[0]
        spec = testing.spec([4000] * 12, deadline_ms=200_000)
        req = fleet.submit(0, spec)
        _run(fleet, 0.2)
        assert len(fleet.starts) == 12
        _freeze(fleet, entry, 75.0)
        for process in fleet.endpoints:
            _connect_again(fleet, process, entry.address, 3)
        _run(fleet, 20.0)
        testing.check_no_double_start(fleet)
        testing.check_job(fleet, spec, fleet.answer(0, req))

    def test_evicted_records_prove_nothing(self, monkeypatch):
        # Guards against the same if there were too many entries to keep even
        # the highest number of each.
        monkeypatch.setattr(_retention, 'HIGHEST_SEQS_MAX', 0)
        self.test_replaced_connections_prove_nothing()


class TestLostStarts:
    def test_do_not_occupy_slots(self):
        # Guards against counting starts that were lost with a connection as
        # on their way for ever, so that an idle endpoint gets no work.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        fleet.driver.silence(fleet.entries[0], fleet.endpoints[0])
        fleet.submit(0, testing.spec([50] * 8, deadline_ms=1000))
        _run(fleet, 5.0)
        spec = testing.spec([50] * 8)
        req = fleet.submit(0, spec)
        _run(fleet, 2.0)
        answer = fleet.answer(0, req)
        assert isinstance(answer, kernel.Complete), answer
        testing.check_job(fleet, spec, answer)


class TestStaleMembers:
    def test_live_owner_does_not_count_as_replaced(self):
        # Guards against giving up the jobs of an entry that has restarted,
        # because an outdated list names its process from before the restart.
        fleet = testing.make_fleet()
        stale = membership.entries(fleet.entries[0].node.directory)
        killed = fleet.entries[1]
        fleet.driver.kill(killed)
        owner = fleet.add_entry(killed.name)
        newcomer = fleet.add_entry('newcomer')
        _run(fleet, 9.0)
        fleet.driver.feed(newcomer, events.MembersSeen(stale))
        _run(fleet, 1.0)
        job_id = jobs.table.issue_ids(owner.node.table, 1, fleet.driver.now)[0]
        spec = testing.spec([100] * 4)
        index = fleet.entries.index(newcomer)
        req = fleet.submit(index, spec, job_id)
        _run(fleet, 10.0)
        answer = fleet.answer(index, req)
        assert isinstance(answer, kernel.Complete), answer


class TestUnknownJob:
    def test_absence_proves_nothing(self):
        # Guards against the verdict `not_run` for a job whose submission is
        # still on its way to the owner.
        fleet = testing.make_fleet()
        owner, other = fleet.entries
        spec = testing.spec([100] * 4)
        job_id = fleet.new_id(0)
        fleet.driver.partition(owner, other)
        req = fleet.submit(1, spec, job_id)
        _run(fleet, 0.5)
        fetch = fleet.request(
            0, lambda req: events.Fetch(req, job_id, 'ash', 0.0)
        )
        fleet.driver.heal(owner, other)
        _run(fleet, 10.0)
        assert isinstance(fleet.answer(1, req), kernel.Complete)
        assert fleet.answer(0, fetch).type == 'unknown-job'
        testing.check_job(fleet, spec, fleet.answer(0, fetch), job_id)


class TestForwardedTwice:
    def test_used_id_does_not_count_as_unused(self):
        # Guards against a second run by the client library, which submits a
        # job again under a new id if the answer to its only submission says
        # that the id had expired.
        fleet = testing.make_fleet()
        job_id = fleet.new_id(0)
        spec = testing.spec([4000] * 4)
        req = fleet.submit(1, spec, job_id)
        _run(fleet, 0.05)
        _freeze(fleet, fleet.entries[1], 75.0)
        _run(fleet, 10.0)
        answer = fleet.answer(1, req)
        testing.check_job(fleet, spec, answer)
        assert answer.type == 'owner-lost'


class TestUnknownStatus:
    def test_start_counts_as_lost(self):
        # Guards against the verdict `not_run` for a task that ran: its start
        # is settled by an outcome that this version can't read.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        entry = fleet.entries[0]
        entry.recover = lambda node, now: []  # as the shell of the daemon
        spec = testing.spec([500], deadline_ms=2000)
        req = fleet.submit(0, spec)
        _run(fleet, 0.1)
        (view,) = entry.node.by_conn.values()
        (seq,) = view.open_starts
        outcome = messages.Outcome(seq=seq, status=99, output=b'', run_ms=0)
        batch = messages.OutcomeBatch(
            outcomes=[outcome], granted=0, free=0, long_free=0, seen=seq
        )
        fleet.driver.feed(entry, events.Received(view.conn, batch))
        _run(fleet, 5.0)
        testing.check_job(fleet, spec, fleet.answer(0, req))
        assert fleet.answer(0, req).type == 'task-lost'


class TestUnreadableForward:
    """Requests and answers of another entry, of a later version."""

    def _submit_elsewhere(self, fleet):
        job_id = fleet.new_id(0)
        req = fleet.submit(1, testing.spec([2000]), job_id)
        _run(fleet, 0.1)
        return req

    def test_request_is_refused(self):
        # Guards against a connection between two entries that ends each time
        # the request is sent again.
        fleet = testing.make_fleet()
        (peer,) = fleet.entries[0].node.peers.values()
        for query, changes in enumerate(({'action': 'x'}, {'body': b'{}'})):
            fields = {'query': query + 1000, 'job_id': fleet.new_id(0)}
            fields |= {'action': 'submit', 'customer': 'ash', 'body': b'[]'}
            fields |= {'wait_ms': 0, 'hops': 1, 'detach': False, 'count': 0}
            request = messages.Forward(**fields | changes)
            before = fleet.driver.sent.get('ForwardAnswer', 0)
            fleet.driver.feed(
                fleet.entries[0], events.Received(peer.conn, request)
            )
            assert fleet.driver.sent['ForwardAnswer'] == before + 1

    def test_caller_is_told_that_the_job_may_have_run(self):
        # Guards against a caller that waits for an answer that has come.
        fleet = testing.make_fleet()
        req = self._submit_elsewhere(fleet)
        node = fleet.entries[1].node
        (query,) = node.forwards
        (peer,) = node.peers.values()
        answer = messages.ForwardAnswer(query=query, body=b'["later",{}]')
        fleet.driver.feed(fleet.entries[1], events.Received(peer.conn, answer))
        assert fleet.answer(1, req).type == 'internal'
        assert fleet.answer(1, req).verdict is kernel.Verdict.MAY_HAVE_RUN


class TestDrainOverCut:
    def test_runs_end_after_a_lost_connection(self):
        # Guards against a leaving endpoint process that doesn't connect again,
        # so that its runs are given up although they end.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        spec = testing.spec([6000] * 3, deadline_ms=30_000)
        req = fleet.submit(0, spec)
        _run(fleet, 0.1)
        fleet.driver.feed(fleet.endpoints[0], events.Drain())
        _cut(fleet, 2.0)
        _run(fleet, 10.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)
        assert fleet.endpoints[0].stopped

    def test_outcome_of_the_last_run_is_kept(self):
        # Guards against a leaving endpoint process that stops while an entry
        # that waits for an outcome is cut off for a moment.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        spec = testing.spec([1700] * 3, deadline_ms=30_000)
        req = fleet.submit(0, spec)
        _run(fleet, 0.1)
        fleet.driver.feed(fleet.endpoints[0], events.Drain())
        _cut(fleet, 2.0)
        _run(fleet, 10.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)
        assert fleet.endpoints[0].stopped

    def test_entry_that_is_gone_delays_the_stop_little(self):
        # Guards against a leaving endpoint process that waits for an entry
        # that never returns.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        fleet.submit(0, testing.spec([1000] * 3, deadline_ms=30_000))
        _run(fleet, 0.1)
        fleet.driver.feed(fleet.endpoints[0], events.Drain())
        fleet.driver.kill(fleet.entries[0])
        _run(fleet, 8.0)
        assert fleet.endpoints[0].stopped


class TestSubmissionWithoutId:
    def test_is_not_sent_to_the_leader_again(self):
        # Guards against a second run: the leader can't tell a copy of a
        # submission without an id from another job.
        fleet = testing.make_fleet()
        spec = testing.spec([300] * 3)
        req = fleet.submit(1, spec)
        _run(fleet, 0.1)
        fleet.driver.silence(*fleet.entries)
        _run(fleet, 20.0)
        assert len(fleet.starts) == 3
        answer = fleet.answer(1, req)
        assert answer.type == 'owner-lost'
        assert answer.verdict is kernel.Verdict.MAY_HAVE_RUN
