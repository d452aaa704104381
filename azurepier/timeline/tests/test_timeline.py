"""Tests of the ring of events and of the merged timeline."""

import random

from azurepier.kernel import effects
from azurepier import timeline


def _ring(process, skew_s=0.0, size=1000):
    clock = [0.0]
    ring = timeline.Ring(size, process, process + '-1', lambda: clock[0])

    def add(at, *record):
        clock[0] = 1e9 + at + skew_s
        ring.add(effects.Record(*record), at + 50.0)

    return ring, add


class TestRing:
    def test_old_events_are_dropped_and_numbers_go_on(self):
        # Guards against a reader that takes old events for new ones.
        ring, add = _ring('entry', size=3)
        for i in range(5):
            add(i, f'e{i}')
        assert [e.number for e in ring.since(0)] == [3, 4, 5]
        assert [e.name for e in ring.since(4)] == ['e4']
        assert ring.since(5) == ring.since(99) == []
        event = ring.since(4)[0]
        assert (event.process, event.incarnation) == ('entry', 'entry-1')
        assert (event.at, event.wall) == (54.0, 1e9 + 4)
        assert timeline.from_dict(timeline.to_dict(event)) == event


def _run_jobs(rng, skews, jobs=30):
    """Record `jobs` jobs on an entry and two endpoints; return the lists."""
    rings = [_ring('entry')] + [
        _ring(f'ep{i}', skew) for i, skew in enumerate(skews)
    ]
    plan = []
    for j in range(jobs):
        at, job = rng.uniform(0, 5), f'j{j}'
        plan.append((at, 0, ('submitted', job)))
        last = at
        for task in range(3):
            ep = rng.randrange(len(skews))
            begin, run = at + 0.002, rng.uniform(0.01, 0.3)
            if rng.random() < 0.2:
                refuser = 1 - ep
                name = f'ep{refuser}'
                plan.append((begin, 0, ('start', job, task, name)))
                begin += 0.001
                plan.append((begin, 1 + refuser, ('refused', job, task, name)))
                begin += 0.001
            name = f'ep{ep}'
            plan.append((begin, 0, ('start', job, task, name)))
            plan.append((begin + 1e-3, 1 + ep, ('admitted', job, task, name)))
            end = begin + run
            plan.append((end, 1 + ep, ('ended', job, task, name, 'done')))
            last = max(last, end + 0.001)
        plan.append((last, 0, ('answered', job, -1, '', 'complete')))
    plan.sort(key=lambda item: item[0])
    for at, where, record in plan:
        rings[where][1](at, *record)
    truth = [record for _, _, record in plan]
    return [ring.since(0) for ring, _ in rings], truth


class TestMerge:
    def test_causes_come_first_in_spite_of_skewed_clocks(self):
        # Guards against a page on which tasks end before they start.
        for seed, skews in enumerate([(0, 0), (40, -7), (-0.2, 3600)]):
            lists, truth = _run_jobs(random.Random(seed), skews)
            merged = timeline.merge(lists)
            assert len(merged) == len(truth)
            position = {
                (e.name, e.job_id, e.task, e.endpoint): i
                for i, e in enumerate(merged)
            }
            for job in {e.job_id for e in merged}:
                _check_job(position, job)

    def test_order_within_a_process_is_kept(self):
        lists, _ = _run_jobs(random.Random(9), (5, -5))
        merged = timeline.merge(lists)
        for events in lists:
            numbers = [
                e.number for e in merged if e.process == events[0].process
            ]
            assert numbers == [e.number for e in events]

    def test_skew_is_estimated(self):
        # Guards against lanes that are shifted against each other.
        lists, _ = _run_jobs(random.Random(3), (40, -7))
        merged = timeline.merge(lists)
        lag = max(
            abs(event.wall - event.at - (1e9 - 50.0)) for event in merged
        )
        assert lag < 0.005

    def test_records_that_contradict_each_other_are_kept(self):
        # Guards against a merge that never ends on damaged input.
        entry, add_entry = _ring('entry')
        other, add_other = _ring('ep')
        add_entry(1, 'answered', 'j', -1, '', 'complete')
        add_entry(2, 'start', 'j', 0, 'ep')
        add_other(1, 'ended', 'j', 0, 'ep')
        add_other(2, 'admitted', 'j', 0, 'ep')
        add_other(3, 'submitted', 'j')
        merged = timeline.merge([entry.since(0), [], other.since(0)])
        assert len(merged) == 5


def _check_job(position, job):
    submitted = position['submitted', job, -1, '']
    answered = position['answered', job, -1, '']
    for (name, job_id, task, endpoint), index in position.items():
        if job_id != job or name not in ('admitted', 'refused', 'ended'):
            continue
        assert submitted < position['start', job, task, endpoint] < index
        assert index < answered
        if name == 'ended':
            assert position['admitted', job, task, endpoint] < index


class TestRendering:
    def test_text_has_a_line_per_event(self):
        lists, truth = _run_jobs(random.Random(1), (0, 0), jobs=2)
        lines = timeline.as_text(timeline.merge(lists)).splitlines()
        assert len(lines) == len(truth)
        assert lines[0].split() == ['0.000', 'ms', 'entry', *truth[0]]
        assert timeline.as_text([]) == ''

    def test_page_escapes_text_and_needs_nothing_else(self):
        # Guards against script injected through a customer's strings.
        ring, add = _ring('<b>"entry"')
        add(0, 'submitted', 'j', -1, '', '<script>alert(1)</script>')
        add(1, 'admitted', 'j', 0, '<e>')
        add(2, 'ended', 'j', 0, '<e>', "'><x")
        page = timeline.as_html(ring.since(0))
        assert '<script' not in page
        assert '<e>' not in page
        assert '<b>' not in page
        assert '<x' not in page
        assert 'src=' not in page
        assert 'href=' not in page
        assert page.count('<rect class="lane"') == 1
        assert timeline.as_html([]).startswith('<!DOCTYPE html>')
