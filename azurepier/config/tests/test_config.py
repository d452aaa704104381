"""Tests of the lists, the JSON format, deltas and adoption."""

import hashlib
import tomllib

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from azurepier import config
from azurepier import kernel

PLANS = '[gold]\nstarts_per_s = 100\nconcurrent = 8\nqueue = 50\n'
TOKEN = hashlib.sha256(b'secret').hexdigest()
customer_names = st.from_regex(
    r'[A-Za-z0-9][A-Za-z0-9_-]{0,5}', fullmatch=True
)
plans = st.builds(
    config.Plan,
    name=st.just(''),
    starts_per_s=st.floats(1e-6, 1e7),
    concurrent=st.integers(1, 10**7),
    queue=st.integers(0, 10**7),
    weight=st.floats(1e-6, 1e6),
    largest_job=st.integers(1, 140),
    urgent_share=st.floats(0, 1),
)


@st.composite
def configurations(draw, version=1):
    plans_by_name = {
        name: attrs.evolve(plan, name=name)
        for name, plan in draw(
            st.dictionaries(customer_names, plans, min_size=1, max_size=4)
        ).items()
    }
    has_token_by_name = draw(
        st.dictionaries(customer_names, st.booleans(), max_size=6)
    )
    customers = {
        name: config.Customer(
            name,
            draw(st.sampled_from(sorted(plans_by_name))),
            hashlib.sha256(name.encode()).hexdigest() if has_token else None,
        )
        for name, has_token in has_token_by_name.items()
    }
    author = draw(st.text(max_size=9))
    return config.Configuration(
        version, f'edit-{version}', author, customers, plans_by_name
    )


def property_test(test):
    return hypothesis.settings(
        derandomize=True, deadline=None, max_examples=150, database=None
    )(test)


@pytest.fixture
def load(tmp_path):
    def load(customers, plans=PLANS):
        paths = tmp_path / 'customers.toml', tmp_path / 'plans.toml'
        for path, text in zip(paths, (customers, plans)):
            raw = text if isinstance(text, bytes) else text.encode()
            path.write_bytes(raw)
        return config.load_lists(*paths)

    return load


def problems_of(load, *texts):
    with pytest.raises(config.ListsError) as caught:
        load(*texts)
    return [
        (problem.file.rpartition('/')[2], problem.line, problem.field)
        for problem in caught.value.problems
    ]


class TestLists:
    def test_valid_lists_get_defaults(self, load):
        # Guards against changed defaults, which operators rely on.
        customers, loaded_plans = load('[acme]\nplan = "gold"\n')
        assert customers == {'acme': config.Customer('acme', 'gold')}
        plan = config.Plan('gold', 100.0, 8, 50, 1.0, 140, 0.5)
        assert loaded_plans == {'gold': plan}
        assert isinstance(loaded_plans['gold'].starts_per_s, float)

    @pytest.mark.parametrize(
        'customers, line, field',
        [
            ('[a]\nplan = "gold"\n\n[b]\nplan = "g"\n', 5, 'b.plan'),
            ('[a]\nplan = "gold"\nquota = 3\n', 3, 'a.quota'),
            ('# text\n\n[a]\nplan = true\n', 4, 'a.plan'),
            ('[a]\nplan = "gold"\n[a]\nplan = "gold"\n', 3, 'a'),
            ('[a]\nplan = "gold"\nplan = "gold"\n', 3, 'plan'),
            ('[a]\n', 1, 'a.plan'),
            ('a.plan = "gold"\na.x = """\n1\n2"""\n[b]\n', 2, 'a.x'),
            ('x = [\n1,\n2]\n', 1, 'x'),
            ('["a b"]\nplan = "gold"\n', 1, 'a b'),
            ('[a]\nplan = "gold"\n[b\n', 3, 'b'),
            ('[a]\nplan = "gold"\ntoken_sha256 = "AB"\n', 3, 'a.token_sha256'),
            (b'[a]\nplan = "\xff"\n', 2, '(top level)'),
        ],
    )
    def test_customer_problem_has_file_line_and_field(
        self, load, customers, line, field
    ):
        # Guards against errors without the file, line and field.
        problems = problems_of(load, customers)
        assert ('customers.toml', line, field) in problems

    @pytest.mark.parametrize(
        'old, new',
        [
            ('starts_per_s = 100', 'starts_per_s = 0'),
            ('starts_per_s = 100', 'starts_per_s = nan'),
            ('starts_per_s = 100', 'starts_per_s = inf'),
            ('starts_per_s = 100', 'starts_per_s = ' + '9' * 400),
            ('concurrent = 8', 'concurrent = true'),
            ('concurrent = 8', 'concurrent = 8.0'),
            ('queue = 50', 'queue = -1'),
            ('queue = 50', 'queue = 50\nlargest_job = 141'),
            ('queue = 50', 'queue = 50\nurgent_share = 1.01'),
            ('queue = 50', 'queue = 50\nweight = "1"'),
        ],
    )
    def test_invalid_plan_value_is_located(self, load, old, new):
        # Guards against quotas that the arithmetic of the limits can't handle,
        # such as zero, NaN or infinity.
        [(file, line, field)] = problems_of(load, '', PLANS.replace(old, new))
        key = new.splitlines()[-1].split(' ')[0]
        text = PLANS.replace(old, new).splitlines()
        assert (file, field) == ('plans.toml', f'gold.{key}')
        assert text[line - 1] == new.splitlines()[-1]

    def test_shared_token_is_rejected(self, load):
        # Guards against requests that are attributed to the wrong customer.
        fields_text = f'plan = "gold"\ntoken_sha256 = "{TOKEN}"\n'
        problems = problems_of(load, f'[a]\n{fields_text}[b]\n{fields_text}')
        assert problems == [('customers.toml', 6, 'b.token_sha256')]

    @property_test
    @hypothesis.given(st.text(max_size=60) | st.binary(max_size=60))
    def test_any_file_loads_or_raises_lists_error(
        self, tmp_path_factory, text
    ):
        # Guards against exceptions other than ListsError, which the command
        # would print as a traceback.
        path = tmp_path_factory.mktemp('fuzz') / 'list.toml'
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        for paths in ((path, path), (path, path.parent / 'missing')):
            try:
                config.load_lists(*paths)
            except config.ListsError as exc:
                assert all(p.file and p.reason for p in exc.problems)

    @property_test
    @hypothesis.given(
        st.lists(st.sampled_from(PLANS.split()), max_size=12),
        st.sampled_from([' ', '\n']),
    )
    def test_shuffled_words_load_or_raise_lists_error(
        self, tmp_path_factory, words, separator
    ):
        # Guards against nearly valid files that pass with missing fields.
        path = tmp_path_factory.mktemp('fuzz') / 'plans.toml'
        path.write_text(separator.join(words))
        empty = path.parent / 'customers.toml'
        empty.write_text('')
        try:
            config.load_lists(empty, path)
        except config.ListsError:
            return
        valid = {'starts_per_s', 'concurrent', 'queue'}
        for fields in tomllib.loads(path.read_text()).values():
            assert fields.keys() == valid


class TestJson:
    @property_test
    @hypothesis.given(configurations())
    def test_round_trip(self, cfg):
        # Guards against values that change in the conversion to JSON and back.
        assert config.from_json(config.to_json(cfg)) == cfg

    @property_test
    @hypothesis.given(configurations(), st.integers(0), st.binary(max_size=3))
    def test_corrupt_body_is_rejected_or_valid(
        self, cfg, position, replacement
    ):
        # Guards against exceptions other than InvalidInputError, and against
        # accepting a configuration that can't be serialised again.
        body = config.to_json(cfg)
        position %= len(body)
        try:
            read = config.from_json(
                body[:position] + replacement + body[position + 1 :]
            )
        except kernel.InvalidInputError:
            return
        assert config.from_json(config.to_json(read)) == read

    def test_customer_of_token(self):
        # Guards against a token that authenticates as another customer.
        customers = {
            'a': config.Customer('a', 'p', TOKEN),
            'b': config.Customer('b', 'p'),
        }
        cfg = config.Configuration(1, 'e', 'x', customers, {})
        assert cfg.customer_of_token('secret') == customers['a']
        assert cfg.customer_of_token('') is None
        assert cfg.customer_of_token('s\udc80') is None


class TestDelta:
    @property_test
    @hypothesis.given(configurations(1), configurations(2))
    def test_delta_produces_the_new_version(self, old, new):
        # Guards against configurations that diverge when deltas are applied.
        delta = config.make_delta(old, new)
        assert config.apply_delta(old, delta) == new
        lines = config.differences(old, new)
        assert bool(lines) == (
            (old.customers, old.plans) != (new.customers, new.plans)
        )

    def test_delta_of_one_customer_is_small(self):
        # Guards against sending all 780 customers when one has changed.
        plan = config.Plan('p', 1.0, 1, 1)
        customers = {
            f'c{n}': config.Customer(f'c{n}', 'p', f'{n:064x}')
            for n in range(780)
        }
        old = config.Configuration(1, 'a', 'x', customers, {'p': plan})
        changed = customers | {'c7': config.Customer('c7', 'p')}
        new = attrs.evolve(old, version=2, edit_id='b', customers=changed)
        assert len(config.make_delta(old, new)) < 300
        assert config.differences(old, new) == ['customer c7: token removed']

    def test_delta_for_another_base_is_rejected(self):
        # Guards against mixing two edits that have the same version.
        old = config.Configuration(1, 'a', 'x', {}, {})
        other = attrs.evolve(old, edit_id='b')
        delta = config.make_delta(old, attrs.evolve(old, version=2))
        with pytest.raises(kernel.InvalidInputError):
            config.apply_delta(other, delta)


class TestAdoption:
    @property_test
    @hypothesis.given(st.lists(st.integers(1, 9), min_size=1, max_size=12))
    def test_current_version_never_decreases(self, versions):
        # Guards against a violation of invariant 8: a delayed message must not
        # restore an older version.
        adoption = config.Adoption()
        highest = 0
        for version in versions:
            cfg = config.Configuration(version, f'e{version}', '', {}, {})
            body = config.to_json(cfg)
            assert config.adopt_body(adoption, body) == (version > highest)
            highest = max(highest, version)
            assert adoption.current.version == highest

    def test_invalid_value_keeps_the_current_configuration(self):
        # Guards against an outage caused by an invalid value in the platform.
        cfg = config.Configuration(3, 'e', '', {}, {})
        adoption = config.Adoption(cfg)
        for body in (b'', b'[]', b'{"version": 4}', b'[' * 100_000):
            assert not config.adopt_body(adoption, body)
            assert not config.adopt_body(adoption, body)
        delta = config.make_delta(cfg, attrs.evolve(cfg, version=4))
        assert not config.adopt_body(adoption, delta[:-9], base=3)
        assert not config.adopt_body(adoption, delta, base=2)
        assert adoption.current is cfg
        assert len(adoption.rejected) == 5
        assert config.adopt_body(adoption, delta, base=3)

    def test_conflicting_edit_of_the_same_version_is_recorded(self):
        # Guards against a reset of the platform that goes unnoticed.
        cfg = config.Configuration(3, 'e', '', {}, {})
        adoption = config.Adoption(cfg)
        assert not config.adopt(adoption, attrs.evolve(cfg, edit_id='f'))
        assert adoption.rejected[0].version == 3
