"""Exchange of all messages between two builds, one process of each."""

import json
import os
import subprocess
import sys

from mixed_fleet import _builds

# Prints an example of each message, complete and without its optional fields,
# or reads such examples and prints those that can't be decoded.
_SCRIPT = '''
import json
import sys
from azurepier.wire import _codec
VALUES = {2: True, 4: 1.5, 8: 7, 10: 2**40}

def value_of(field):
    _, ttype, _, arguments, _ = field
    if ttype == 11:
        return b'{}' if arguments == 'BINARY' else 'name'
    if ttype == 15:
        return [value_of((0, arguments[0], '', arguments[1], None))] * 2
    return make(arguments[0]) if ttype == 12 else VALUES[ttype]

def make(cls, omitted=()):
    fields = [field for field in cls.thrift_spec if field]
    return cls(**{
        field[2]: value_of(field)
        for field in fields if field[2] not in omitted
    })

def write():
    frames = {}
    for cls in _codec.CLASS_OF_TYPE.values():
        optional = _codec._OPTIONAL_FIELDS.get(cls, ())
        for name, omitted in (('all', ()), ('required', optional)):
            frame = _codec.encode(make(cls, omitted))
            frames[f'{cls.__name__} {name}'] = frame.hex()
    return frames

def read(frames):
    problems = {}
    for name, frame in frames.items():
        try:
            msg = _codec.decode(bytes.fromhex(frame))
        except Exception as exc:
            problems[name] = str(exc)
            continue
        if type(msg).__name__ != name.split()[0]:
            problems[name] = f'read as {type(msg).__name__}'
    return problems

data = json.load(sys.stdin)
print(json.dumps(write() if data is None else read(data)))
'''


def _run(build, data):
    result = subprocess.run(
        [sys.executable, '-S', '-c', _SCRIPT],
        cwd=build.root,
        env={**os.environ, 'PYTHONPATH': _builds.library_path()},
        input=json.dumps(data),
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(result.stdout)


def unreadable(sender, receiver):
    """Return the messages of one build that another one can't read.

    Returns
    -------
    dict of str to str
        Reason by the name of the message and of its variant: 'all', with all
        fields, or 'required', without the optional ones.
    """
    return _run(receiver, _run(sender, None))
