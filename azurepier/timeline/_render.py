"""Merged events as text and as a page with one lane per process."""

import collections
import html

from azurepier.timeline import _merge

_PAGE_WIDTH_PX = 1200
_LABEL_WIDTH_PX = 180
_ROW_HEIGHT_PX = 12
_LANE_GAP_PX = 14
_MARK_RADIUS_PX = 3
_MIN_BAR_PX = 1.5
_TICKS = 10
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


def _label(event):
    parts = [event.name, event.job_id]
    if event.task >= 0:
        parts.append(f'task {event.task}')
    parts += [event.endpoint, event.detail]
    return ' '.join(part for part in parts if part)


def as_text(events):
    """Return one line per event.

    Parameters
    ----------
    events : list of Event
        As `merge` returns them.

    Returns
    -------
    str
        Times are milliseconds since the first event.
    """
    if not events:
        return ''
    begin = min(event.wall for event in events)
    width = max(len(event.process) for event in events)
    return ''.join(
        f'{(event.wall - begin) * _MS_PER_S:12.3f} ms '
        f'{event.process:{width}} {_label(event)}\n'
        for event in events
    )


def as_html(events):
    """Return a self-contained page that draws the events.

    Parameters
    ----------
    events : list of Event
        As `merge` returns them.

    Returns
    -------
    str
        One lane per process. Tasks are bars from ``admitted`` to ``ended``,
        all other events are marks; the details are in tooltips and in the
        text below.
    """
    times = [event.wall for event in events] or [0.0]
    begin, span = min(times), max(max(times) - min(times), 1e-9)

    def x_of(time):
        room = _PAGE_WIDTH_PX - _LABEL_WIDTH_PX - 2 * _MARK_RADIUS_PX
        return _LABEL_WIDTH_PX + (time - begin) / span * room

    parts = []
    top = 2 * _ROW_HEIGHT_PX
    for process, own in _lanes(events).items():
        bars, marks = _split(own)
        rows = _stack(bars)
        lane_height = (1 + max(rows, default=0) + 1) * _ROW_HEIGHT_PX
        parts.append(_background(process, top, lane_height))
        parts += [
            _bar(bar, x_of, top + (1 + row) * _ROW_HEIGHT_PX)
            for bar, row in zip(bars, rows)
        ]
        parts += [_mark(event, x_of, top) for event in marks]
        top += lane_height + _LANE_GAP_PX
    parts += _axis(begin, span, x_of)
    return _PAGE.format(
        legend=_legend(),
        width=_PAGE_WIDTH_PX,
        height=top + _ROW_HEIGHT_PX,
        body='\n'.join(parts),
        text=html.escape(as_text(events)),
    )


def _lanes(events):
    lanes = collections.defaultdict(list)
    for event in events:
        lanes[event.process].append(event)
    return lanes


def _split(events):
    """Return the bars (admitted, ended) and the other events of a lane."""
    open_, bars, marks = {}, [], []
    for event in events:
        key = (event.incarnation, event.job_id, event.task)
        if event.name == _merge.ADMITTED:
            open_[key] = event
        elif event.name == _merge.ENDED and key in open_:
            bars.append((open_.pop(key), event))
        else:
            marks.append(event)
    bars.sort(key=lambda bar: bar[0].wall)
    return bars, [*marks, *open_.values()]


def _stack(bars):
    """Return for each bar the lowest row in which it overlaps no other."""
    ends, rows = [], []
    for first, last in bars:
        for row, end in enumerate(ends):
            if end <= first.wall:
                break
        else:
            row = len(ends)
            ends.append(0.0)
        ends[row] = last.wall
        rows.append(row)
    return rows


def _background(process, top, height):
    return (
        f'<rect class="lane" x="0" y="{top}" width="{_PAGE_WIDTH_PX}"'
        f' height="{height}"/><text x="4" y="{top + _ROW_HEIGHT_PX}">'
        f'{html.escape(process)}</text>'
    )


def _bar(bar, x_of, y):
    first, last = bar
    x = x_of(first.wall)
    width = max(x_of(last.wall) - x, _MIN_BAR_PX)
    colour = _COLOURS[_merge.ADMITTED]
    if last.detail not in ('', 'done'):
        colour = _OTHER_COLOUR
    ms = (last.wall - first.wall) * _MS_PER_S
    title = html.escape(f'{_label(last)}, {ms:.3f} ms')
    return (
        f'<rect x="{x:.2f}" y="{y}" width="{width:.2f}"'
        f' height="{_ROW_HEIGHT_PX - 2}" fill="{colour}" fill-opacity="0.7">'
        f'<title>{title}</title></rect>'
    )


def _mark(event, x_of, top):
    colour = _COLOURS.get(event.name, _OTHER_COLOUR)
    return (
        f'<circle cx="{x_of(event.wall):.2f}" cy="{top + _ROW_HEIGHT_PX / 2}"'
        f' r="{_MARK_RADIUS_PX}" fill="{colour}">'
        f'<title>{html.escape(_label(event))}</title></circle>'
    )


def _axis(begin, span, x_of):
    for i in range(_TICKS):
        offset = span * i / _TICKS
        yield (
            f'<text x="{x_of(begin + offset):.2f}" y="{_ROW_HEIGHT_PX}">'
            f'{offset * _MS_PER_S:.1f} ms</text>'
        )


def _legend():
    colours = {**_COLOURS, 'other or failed': _OTHER_COLOUR}
    return ' '.join(
        f'<span style="color:{colour}">&#9679; {name}</span>'
        for name, colour in colours.items()
    )
