#!/usr/bin/env python3
"""List externally visible names, which must not be renamed.

    outer_names.py [--origins]
    outer_names.py --check FILE

Prints one name per line: fields of messages, keys of JSON, TOML and log lines,
settings, flags and commands, environment variables, metrics and counters, and
values of enums that are written out. `--origins` adds the kinds and the first
place of each name. `--check` prints the names of an earlier list that the code
no longer has and exits with 1 if there are any.
"""

import argparse
import ast
import collections
import pathlib
import re
import subprocess
import sys
import tomllib

# Packages that read and write messages, files and HTTP.
_BOUNDARIES = (
    'azurepier/cli',
    'azurepier/client',
    'azurepier/config',
    'azurepier/daemon',
    'azurepier/etcd',
    'azurepier/experiment',
    'azurepier/jobs',
    'azurepier/kernel/_job.py',
    'azurepier/report',
    'azurepier/store',
    'azurepier/timeline',
    'azurepier/web',
    'azurepier/wire',
    'platform',
    'standins',
)
# Classes whose field names appear in messages, files or HTTP bodies.
_OUTER_CLASSES = re.compile(
    r'Settings$|^(Customer|Plan|HistoryEntry|EndedJob|Applied|Event|TimeLine'
    r'Event|Experiment|Kind|Fault|Burst|Fleet|EntryInfo|Refused|Complete|'
    r'Accepted|Ids|TaskSpec|JobSpec)$'
)
_KEY = re.compile(r'^[A-Za-z][\w.-]*$')
_PATH = re.compile(r'^/[\w{}/.-]+$')
_KIND_BY_CALL = {
    'count': 'counter',
    'observe': 'histogram',
    'Rejected': 'value',
    'get': 'key',
    'pop': 'key',
    '_number': 'key',
    '_text': 'key',
    'add_argument': 'flag',
    'option': 'flag',
    'argument': 'argument',
    'command': 'command',
    'group': 'command',
}


def _constant(node):
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    return None


def _call_name(node):
    func = node.func
    return getattr(func, 'attr', getattr(func, 'id', ''))


def _keys(node):
    """Yield (kind, name) for the keys that an expression names."""
    if isinstance(node, ast.Dict):
        yield from (('key', _constant(key)) for key in node.keys if key)
    elif isinstance(node, ast.Subscript):
        yield 'key', _constant(node.slice)
    elif isinstance(node, ast.Compare):
        if isinstance(node.ops[0], ast.In | ast.NotIn):
            yield 'key', _constant(node.left)


def _from_call(node, boundary):
    name = _call_name(node)
    kind = _KIND_BY_CALL.get(name)
    if kind and (boundary or kind not in ('key', 'argument')):
        for arg in node.args:
            text = _constant(arg)
            if text and (kind == 'flag' or arg is node.args[0]):
                yield kind, text
    if name == 'Log':
        for arg in node.args[1:]:
            if isinstance(arg, ast.Dict):
                yield from _keys(arg)
    if name in ('Log', 'info', 'warning', 'error'):
        for keyword in node.keywords:
            if keyword.arg == 'extra' and isinstance(keyword.value, ast.Dict):
                yield from _keys(keyword.value)


def _from_class(node):
    bases = {ast.unparse(base).rpartition('.')[2] for base in node.bases}
    if bases & {'Enum', 'StrEnum', 'IntEnum'}:
        for item in node.body:
            if isinstance(item, ast.Assign):
                yield 'enum', item.targets[0].id
                yield 'value', _constant(item.value)
    elif _OUTER_CLASSES.search(node.name):
        for item in node.body:
            if isinstance(item, ast.AnnAssign):
                yield 'field', item.target.id


def _from_function(node):
    if node.name in ('status', '_entries', '_endpoint'):
        # The status is served as JSON, and its numbers are metrics.
        for inner in ast.walk(node):
            yield from _keys(inner)
    for decorator in node.decorator_list:
        call = isinstance(decorator, ast.Call)
        name = _call_name(decorator) if call else ast.unparse(decorator)
        if name.rpartition('.')[2] in ('command', 'group'):
            if not (call and decorator.args):
                yield 'command', node.name


def _docstrings(tree):
    for node in ast.walk(tree):
        body = getattr(node, 'body', None)
        if isinstance(body, list) and body and isinstance(body[0], ast.Expr):
            yield id(body[0].value)


def names_of(path, source):
    """Yield (kind, name, line) of the externally visible names in a module."""
    tree = ast.parse(source)
    boundary = path.startswith(_BOUNDARIES)
    docstrings = set(_docstrings(tree))
    for node in ast.walk(tree):
        found = []
        if isinstance(node, ast.Call):
            found += _from_call(node, boundary)
        if isinstance(node, ast.ClassDef):
            found += _from_class(node)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found += _from_function(node)
        if boundary:
            found += _keys(node)
            # Skip tuples that begin with a module: they hold attributes to
            # patch, not keys.
            if isinstance(node, ast.Tuple | ast.List | ast.Set) and not (
                node.elts and isinstance(node.elts[0], ast.Name)
            ):
                found += (('item', _constant(item)) for item in node.elts)
        text = None if id(node) in docstrings else _constant(node)
        if text and (
            _PATH.match(text)
            or re.match(r'^(AZUREPIER_[A-Z_]+|azurepier_\w+)$', text)
        ):
            found.append(('path or variable', text))
        for kind, name in found:
            if not name:
                continue
            if _KEY.match(name) or _PATH.match(name) or name.startswith('--'):
                yield kind, name, getattr(node, 'lineno', 1)


def _from_thrift(text):
    text = re.sub(r'//.*|/\*.*?\*/', '', text)
    yield from re.findall(r'\bstruct (\w+)', text)
    yield from re.findall(r'^\s*\d+:\s*[\w<>, .]+?\s+(\w+)\s*$', text, re.M)


def _from_toml(value):
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from _from_toml(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _from_toml(inner)


def collect():
    """Return the kinds and the first place of each name."""
    found = collections.defaultdict(lambda: (set(), []))
    files = subprocess.check_output(['git', 'ls-files'], text=True).split()
    for path in files:
        text, rows = None, ()
        if path.startswith('tools/') or '/gen/' in path:
            continue
        if path.endswith(('.py', '.thrift', '.toml')):
            text = pathlib.Path(path).read_text()
        if path.endswith('.py') and '/tests/' not in f'/{path}':
            rows = names_of(path, text)
        elif path.endswith('.thrift'):
            rows = (('message', name, 1) for name in _from_thrift(text))
        elif path.endswith('.toml') and path != 'pyproject.toml':
            table = tomllib.loads(text)
            rows = (('toml', name, 1) for name in _from_toml(table))
        for kind, name, line in rows:
            kinds, places = found[name]
            kinds.add(kind)
            places.append(f'{path}:{line}')
    return found


def main():
    """Print the list or compare it with an earlier one."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--origins', action='store_true')
    parser.add_argument('--check', metavar='FILE')
    args = parser.parse_args()
    found = collect()
    if args.check:
        earlier = pathlib.Path(args.check).read_text().split()
        missing = sorted(set(earlier) - set(found))
        print(f'{len(earlier)} names, {len(missing)} missing', *missing)
        return 1 if missing else 0
    for name, (kinds, places) in sorted(found.items()):
        origin = f'\t{", ".join(sorted(kinds))}\t{places[0]}'
        print(name + (origin if args.origins else ''))
    return 0


if __name__ == '__main__':
    sys.exit(main())
