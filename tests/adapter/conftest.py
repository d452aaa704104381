"""Makes the adapter importable as it is where ``run.py`` starts it.

The tests are not in the adapter's folder, since pytest would register that
as a module in place of the standard library's `platform`.
"""

import os
import sys

_HERE = os.path.dirname(__file__)
_ROOT = os.path.dirname(os.path.dirname(_HERE))
sys.path[:0] = [os.path.join(_ROOT, 'platform'), _HERE]
