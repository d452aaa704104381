"""Split what each day of a bench run lacks to a worth of 1 into its parts.

Usage: ``python3 tools/score_parts.py journal/ENTRY.json...``

Prints a table in Markdown. The ceiling is what remains of 1 after the prices
that no decision of the dispatch changes: machines, memory and traffic between
failure domains. The other columns are losses.
"""

import json
import sys

FIXED_PRICES = ('machine-seconds', 'memory, GB x seconds', 'GB between zones')
COLUMNS = (
    'day',
    'worth',
    'ceiling',
    'whole day',
    'worst windows',
    'worst class',
    'worst zone',
    'other prices',
    'largest of them',
)


def split_day(day):
    """Return the row of a day.

    Parameters
    ----------
    day : dict
        With `name`, `parts` (rows of name, weight and value) and `prices`
        (rows of name, amount and price).

    Returns
    -------
    dict
        By the names in `COLUMNS`; all but the first and last are numbers.
    """
    prices = {name: price or 0.0 for name, _, price in day['prices']}
    fixed = sum(prices.pop(name, 0.0) for name in FIXED_PRICES)
    other = sum(prices.values())
    losses = {
        name: weight * (1 - value) for name, weight, value in day['parts']
    }
    name = max(prices, key=prices.get, default='')
    return {
        'day': day['name'],
        'worth': 1 - sum(losses.values()) - fixed - other,
        'ceiling': 1 - fixed,
        **{part: losses.get(part, 0.0) for part in COLUMNS[3:7]},
        'other prices': other,
        'largest of them': f'{name} {prices[name]:.3f}' if name else '',
    }


def format_table(rows):
    """Return the rows as a table in Markdown, with their mean."""
    numbers = COLUMNS[1:-1]
    mean = {
        column: sum(row[column] for row in rows) / len(rows)
        for column in numbers
    }
    lines = [
        '| ' + ' | '.join(COLUMNS) + ' |',
        '|' + '---|' * len(COLUMNS),
    ]
    for row in [*rows, {'day': 'mean', **mean, 'largest of them': ''}]:
        cells = [row['day']]
        cells += [f'{row[column]:.3f}' for column in numbers]
        lines.append(
            '| ' + ' | '.join([*cells, row['largest of them']]) + ' |'
        )
    return '\n'.join(lines)


def main(paths):
    """Print the table of each journal entry."""
    for path in paths:
        with open(path) as file:
            entry = json.load(file)
        rows = [
            split_day(day)
            for day in entry.get('days', ())
            if day.get('parts') and not day.get('fault')
        ]
        print(f'{path}: {entry.get("site")}, {entry.get("why")}\n')
        print(format_table(rows) if rows else 'no day was played')
        print()


if __name__ == '__main__':
    main(sys.argv[1:])
