"""Puts the adapter on the import path, as ``platform/run.py`` does.

The tests are kept outside the adapter's folder, since pytest would import that
folder as `platform`, in place of the standard library's module.
"""

import os
import sys

_HERE = os.path.dirname(__file__)
_ROOT = os.path.dirname(os.path.dirname(_HERE))
sys.path[:0] = [os.path.join(_ROOT, 'platform'), _HERE]
