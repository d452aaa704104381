"""Rendering of merged events as text and as an HTML page."""

import collections
import html

from azurepier.timeline import _merge

_PAGE_WIDTH_PX = 1200
_LABEL_WIDTH_PX = 180
_ROW_HEIGHT_PX = 12
_LANE_GAP_PX = 14
_MARK_RADIUS_PX = 3
_MIN_BAR_WIDTH_PX = 1.5
_TICK_COUNT = 10
_MS_PER_S = 1000

_COLOURS = {
    _merge.SUBMITTED: '#1f6feb',
    _merge.START: '#8250df',
    _merge.ADMITTED: '#2da44e',
    _merge.REFUSED: '#bf8700',
    _merge.ENDED: '#116329',
    _merge.ANSWERED: '#0a3069',
}
_OTHER_COLOUR = '#cf222e'

_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title>
<style>body{{font:13px sans-serif}}svg text{{font:11px sans-serif}}
pre{{font:12px monospace}}.lane{{fill:#f6f8fa}}</style></head><body>
<p>{legend}</p>
<svg width="{width}" height="{height}" xmlns="http://www.w3.org/2000/svg">
{body}
</svg>
<pre>{text}</pre>
</body></html>
"""


def _describe(event):
    parts = [event.name, event.job_id]
    if event.task >= 0:
        parts.append(f'task {event.task}')
    parts += [event.endpoint, event.detail]
    return ' '.join(part for part in parts if part)


def as_text(events):
    """Format events as text, one line per event.

    Parameters
    ----------
    events : list of Event
        As `merge` returns them.

    Returns
    -------
    str
        Times are in milliseconds since the first event.
    """
    if not events:
        return ''
    begin = min(event.wall for event in events)
    width = max(len(event.process) for event in events)
    return ''.join(
        f'{(event.wall - begin) * _MS_PER_S:12.3f} ms '
        f'{event.process:{width}} {_describe(event)}\n'
        for event in events
    )


def as_html(events):
    """Render events as a self-contained HTML page with a chart.

    Parameters
    ----------
    events : list of Event
        As `merge` returns them.

    Returns
    -------
    str
        The chart has one lane per process. Tasks are bars from ``admitted``
        to ``ended``, all other events are marks with tooltips. The text form
        follows below the chart.
    """
    times = [event.wall for event in events] or [0.0]
    begin, span = min(times), max(max(times) - min(times), 1e-9)

    def x_at(time):
        plot_width = _PAGE_WIDTH_PX - _LABEL_WIDTH_PX - 2 * _MARK_RADIUS_PX
        return _LABEL_WIDTH_PX + (time - begin) / span * plot_width

    parts = []
    top = 2 * _ROW_HEIGHT_PX
    for process, lane_events in _group_by_process(events).items():
        bars, marks = _split_bars(lane_events)
        rows = _assign_rows(bars)
        lane_height = (1 + max(rows, default=0) + 1) * _ROW_HEIGHT_PX
        parts.append(_lane_svg(process, top, lane_height))
        parts += [
            _bar_svg(bar, x_at, top + (1 + row) * _ROW_HEIGHT_PX)
            for bar, row in zip(bars, rows)
        ]
        parts += [_mark_svg(event, x_at, top) for event in marks]
        top += lane_height + _LANE_GAP_PX
    parts += _axis_svg(begin, span, x_at)
    return _PAGE.format(
        legend=_legend_html(),
        width=_PAGE_WIDTH_PX,
        height=top + _ROW_HEIGHT_PX,
        body='\n'.join(parts),
        text=html.escape(as_text(events)),
    )


def _group_by_process(events):
    lanes = collections.defaultdict(list)
    for event in events:
        lanes[event.process].append(event)
    return lanes


def _split_bars(events):
    """Split a lane into bars, pairs (admitted, ended), and other events."""
    open_tasks, bars, marks = {}, [], []
    for event in events:
        key = (event.incarnation, event.job_id, event.task)
        if event.name == _merge.ADMITTED:
            open_tasks[key] = event
        elif event.name == _merge.ENDED and key in open_tasks:
            bars.append((open_tasks.pop(key), event))
        else:
            marks.append(event)
    bars.sort(key=lambda bar: bar[0].wall)
    return bars, [*marks, *open_tasks.values()]


def _assign_rows(bars):
    """Return for each bar the first row in which it overlaps no other."""
    row_ends, rows = [], []
    for first, last in bars:
        for row, end in enumerate(row_ends):
            if end <= first.wall:
                break
        else:
            row = len(row_ends)
            row_ends.append(0.0)
        row_ends[row] = last.wall
        rows.append(row)
    return rows


def _lane_svg(process, top, height):
    return (
        f'<rect class="lane" x="0" y="{top}" width="{_PAGE_WIDTH_PX}"'
        f' height="{height}"/><text x="4" y="{top + _ROW_HEIGHT_PX}">'
        f'{html.escape(process)}</text>'
    )


def _bar_svg(bar, x_at, y):
    first, last = bar
    x = x_at(first.wall)
    width = max(x_at(last.wall) - x, _MIN_BAR_WIDTH_PX)
    colour = _COLOURS[_merge.ADMITTED]
    if last.detail not in ('', 'done'):
        colour = _OTHER_COLOUR
    ms = (last.wall - first.wall) * _MS_PER_S
    title = html.escape(f'{_describe(last)}, {ms:.3f} ms')
    return (
        f'<rect x="{x:.2f}" y="{y}" width="{width:.2f}"'
        f' height="{_ROW_HEIGHT_PX - 2}" fill="{colour}" fill-opacity="0.7">'
        f'<title>{title}</title></rect>'
    )


def _mark_svg(event, x_at, top):
    colour = _COLOURS.get(event.name, _OTHER_COLOUR)
    return (
        f'<circle cx="{x_at(event.wall):.2f}" cy="{top + _ROW_HEIGHT_PX / 2}"'
        f' r="{_MARK_RADIUS_PX}" fill="{colour}">'
        f'<title>{html.escape(_describe(event))}</title></circle>'
    )


def _axis_svg(begin, span, x_at):
    for i in range(_TICK_COUNT):
        offset = span * i / _TICK_COUNT
        yield (
            f'<text x="{x_at(begin + offset):.2f}" y="{_ROW_HEIGHT_PX}">'
            f'{offset * _MS_PER_S:.1f} ms</text>'
        )


def _legend_html():
    colours = {**_COLOURS, 'other or failed': _OTHER_COLOUR}
    return ' '.join(
        f'<span style="color:{colour}">&#9679; {name}</span>'
        for name, colour in colours.items()
    )
