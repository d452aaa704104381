"""Tests of the ring buffer and of merging and rendering its events."""

import random

import pytest

from azurepier.kernel import effects
from azurepier import timeline


def _make_ring(process, skew_s=0.0, size=1000):
    clock = [0.0]
    ring = timeline.Ring(size, process, process + '-1', lambda: clock[0])

    def add(at, *record):
        clock[0] = 1e9 + at + skew_s
        ring.add(effects.Record(*record), at + 50.0)

    return ring, add


class TestRing:
    def test_old_events_are_dropped_and_numbers_continue(self):
        # Guards against reusing the numbers of dropped events, with which
        # readers would mistake new events for known ones.
        ring, add = _make_ring('entry', size=3)
        for i in range(5):
            add(i, f'e{i}')
        assert [e.number for e in ring.since(0)] == [3, 4, 5]
        assert ring.since(5) == ring.since(99) == []
        (event,) = ring.since(4)
        assert event == timeline.Event(
            5, 54.0, 1e9 + 4, 'entry', 'entry-1', 'e4'
        )
        assert timeline.from_dict(timeline.to_dict(event)) == event


def _record_jobs(seed, skews_s, jobs=30):
    """Record jobs of three tasks each on an entry and two endpoints.

    Returns
    -------
    lists : list of list of Event
        Events of each ring.
    true_order : list of tuple
        Records in the order in which they occurred.
    """
    rng = random.Random(seed)
    rings = [_make_ring('entry')]
    rings += [_make_ring(f'ep{i}', skew_s) for i, skew_s in enumerate(skews_s)]
    schedule = []
    for job in (f'j{i}' for i in range(jobs)):
        at = last = rng.uniform(0, 5)
        schedule.append((at, 0, ('submitted', job)))
        for task in range(3):
            begin, index = at + 0.002, rng.randrange(2)
            if rng.random() < 0.2:
                start = 'start', job, task, f'ep{1 - index}'
                schedule.append((begin, 0, start))
                refused = 'refused', *start[1:]
                schedule.append((begin + 0.001, 2 - index, refused))
                begin += 0.002
            end = begin + rng.uniform(0.01, 0.3)
            last = max(last, end + 0.001)
            task_key = job, task, f'ep{index}'
            schedule.append((begin, 0, ('start', *task_key)))
            schedule.append(
                (begin + 0.001, 1 + index, ('admitted', *task_key))
            )
            schedule.append((end, 1 + index, ('ended', *task_key, 'done')))
        schedule.append((last, 0, ('answered', job, -1, '', 'complete')))
    schedule.sort(key=lambda item: item[0])
    for at, ring_index, record in schedule:
        rings[ring_index][1](at, *record)
    return [r.since(0) for r, _ in rings], [record for *_, record in schedule]


class TestMerge:
    @pytest.mark.parametrize('skews_s', [(0, 0), (40, -7), (-0.2, 3600)])
    def test_causes_come_first_with_skewed_clocks(self, skews_s):
        # Guards against a page on which tasks end before they start, and
        # against lanes with different time offsets.
        lists, true_order = _record_jobs(1, skews_s)
        merged = timeline.merge(lists)
        positions = {
            (e.name, e.job_id, e.task, e.endpoint): i
            for i, e in enumerate(merged)
        }
        assert len(merged) == len(true_order) == len(positions)
        for (name, *key), i in positions.items():
            if name in ('admitted', 'refused', 'ended'):
                assert positions['submitted', key[0], -1, ''] < i
                assert positions['start', *key] < i
                assert i < positions['answered', key[0], -1, '']
            if name == 'ended':
                assert positions['admitted', *key] < i
        for e in merged:
            assert abs(e.wall - e.at - (1e9 - 50.0)) < 0.005
        for events in lists:
            process = events[0].process
            kept = [e.number for e in merged if e.process == process]
            assert kept == [e.number for e in events]

    def test_contradictory_records_are_kept(self):
        # Guards against a merge that does not terminate on contradictory
        # records.
        entry, add_entry = _make_ring('entry')
        other, add_other = _make_ring('ep')
        add_entry(1, 'answered', 'j', -1, '', 'complete')
        add_entry(2, 'start', 'j', 0, 'ep')
        for i, name in enumerate(('ended', 'admitted', 'submitted')):
            add_other(i, name, 'j', 0, 'ep')
        merged = timeline.merge([entry.since(0), [], other.since(0)])
        assert len(merged) == 5


class TestRendering:
    def test_text_has_a_line_per_event(self):
        # Guards against events that are missing in the text or out of order.
        lists, true_order = _record_jobs(1, (0, 0), jobs=2)
        lines = timeline.as_text(timeline.merge(lists)).splitlines()
        assert len(lines) == len(true_order)
        assert lines[0].split() == ['0.000', 'ms', 'entry', *true_order[0]]
        assert timeline.as_text([]) == ''

    def test_page_escapes_text_and_is_self_contained(self):
        # Guards against script injection through the strings of a customer.
        ring, add = _make_ring('<b>"entry"')
        add(0, 'submitted', 'j', -1, '', '<script>alert(1)</script>')
        add(1, 'admitted', 'j', 0, '<e>')
        add(2, 'ended', 'j', 0, '<e>', "'><x")
        page = timeline.as_html(ring.since(0))
        for text in ('<script', '<e>', '<b>', '<x', 'src=', 'href='):
            assert text not in page
        assert page.count('<rect class="lane"') == 1
        assert timeline.as_html([]).startswith('<!DOCTYPE html>')
