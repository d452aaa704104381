"""Cancels of jobs, at whichever entry they arrive."""

from azurepier import dispatch
from azurepier.dispatch import _cancel
from azurepier.kernel import effects
from azurepier import testing


def cancel(fleet, call, entry):
    event = dispatch.CancelJob(call.job.id)
    fleet.driver.feed(fleet.entries[entry], event)


class TestCancel:
    def test_cancel_reaches_distant_entries(self):
        """Guards against a cancel that only direct neighbours learn of."""
        fleet = testing.make_pool(entries=12)
        process = fleet.entries['e0']
        linked = {peer.name for peer in process.node.peers.values()}
        assert len(linked) < 11
        for name in sorted(set(fleet.entries) - {'e0'}):
            call = fleet.submit(2.0, count=2, entry='e0')
            fleet.run_for(0.1)
            cancel(fleet, call, name)
            fleet.run_for(0.2)
            assert call.body == dispatch.Canceled()
            assert not process.node.jobs
        assert not any(each.runs for each in fleet.workers.values())

    def test_callers_are_answered_after_the_last_run(self):
        """Guards against an answer while tasks of the job are at work."""
        fleet = testing.make_pool(entries=1)
        call = fleet.submit(2.0, count=6, entry='e0')
        fleet.run_for(0.3)
        for endpoint in fleet.endpoints.values():
            fleet.driver.partition(fleet.entries['e0'], endpoint)
        cancel(fleet, call, 'e0')
        fleet.run_for(0.3)
        assert any(each.runs for each in fleet.workers.values())
        assert call.body is None
        fleet.run_for(3.0)
        assert not any(each.runs for each in fleet.workers.values())
        assert call.body == dispatch.Canceled()

    def test_restarted_entry_gets_the_job_again(self):
        """Guards against starts at an entry that began after the cancel."""
        fleet = testing.make_pool()
        call = fleet.submit(2.0, count=2, entry='e0')
        fleet.run_for(0.1)
        cancel(fleet, call, 'e1')
        fleet.kill_entry('e2')
        fleet.start_entry('e2')
        fleet.run_for(1.0)
        starts = dict(fleet.ledger.started)
        event = dispatch.Submit(1000, call.queue, call.job)
        fleet.driver.feed(fleet.entries['e2'], event)
        fleet.run_for(1.0)
        _, answer = fleet.driver.answers['e2', 1000]
        assert answer == dispatch.Canceled()
        assert fleet.ledger.started == starts

    def test_new_entry_without_endpoint_processes(self):
        """Guards against records that only endpoint processes pass on."""
        fleet = testing.make_pool(speeds=())
        fleet.driver.feed(fleet.entries['e1'], dispatch.CancelJob('job'))
        fleet.kill_entry('e2')
        fleet.start_entry('e2')
        fleet.run_for(1.0)
        assert 'job' in fleet.entries['e2'].node.canceled_jobs

    def test_cancels_are_forgotten(self):
        """Guards against ids that entries teach each other again for good."""
        fleet = testing.make_pool()
        cancel(fleet, fleet.submit(0.1), 'e0')
        fleet.run_for(_cancel.RETENTION_S / 2)
        fleet.kill_entry('e2')
        fleet.start_entry('e2')
        # Ages don't count the time of a message on its way.
        fleet.run_for(_cancel.RETENTION_S / 2 + 0.1)
        for name in ('e0', 'e1', 'e2'):
            node = fleet.entries[name].node
            assert len(node.canceled_jobs) == 1
            assert not _cancel.is_canceled(
                node, fleet.calls[0].job.id, fleet.driver.now
            )

    def test_number_of_messages(self):
        """Guards against cancels that entries pass back and forth."""
        fleet = testing.make_pool(entries=6)
        call = fleet.submit(2.0, entry='e0')
        fleet.run_for(0.5)
        sent = {'entries': 0, 'endpoints': 0, 'relays': 0}
        send = fleet.driver.effect_handlers[effects.Send]

        def record(driver, process, effect):
            if getattr(effect.msg, 'canceled', None):
                if process.name not in fleet.entries:
                    sent['relays'] += 1
                elif effect.conn in process.node.peers:
                    sent['entries'] += 1
                else:
                    sent['endpoints'] += 1
            send(driver, process, effect)

        fleet.driver.effect_handlers[effects.Send] = record
        for name in ('e1', 'e2', 'e1'):
            cancel(fleet, call, name)
        fleet.run_for(5.0)
        links = sum(len(each.node.peers) for each in fleet.entries.values())
        assert 5 <= sent['entries'] <= links
        assert 1 <= sent['endpoints'] <= 6 * len(fleet.endpoints)
        # Every entry has told the endpoint processes by itself.
        assert sent['relays'] == 0

    def test_waiting_caller_outlives_the_failure_of_a_handler(self):
        """Guards against an error as the answer to a canceled job.

        After a failure the shell fails the requests that the node doesn't
        know.
        """
        fleet = testing.make_pool(entries=1)
        call = fleet.submit(2.0, count=6, entry='e0')
        fleet.run_for(0.3)
        node = fleet.entries['e0'].node
        event = dispatch.CancelJob(call.job.id)
        fleet.driver.feed(fleet.entries['e0'], event)
        assert call.body is None
        assert dispatch.knows(node, call.req)
