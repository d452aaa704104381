"""Routes of paths that callers choose."""

import collections

import pytest

from azurepier import dispatch
from azurepier.dispatch import _config
from azurepier import testing

PREFIXES = ('/', '/a/', '/a/b/', '/long/prefix/')


class CountingDict(collections.OrderedDict):
    """Counts lookups."""

    lookups = 0

    def __contains__(self, key):
        self.lookups += 1
        return super().__contains__(key)


def make_routes():
    """Return queues by route that count lookups."""
    return CountingDict(
        {('h', prefix): testing.queue(name=prefix) for prefix in PREFIXES}
    )


class TestFindQueue:
    @pytest.mark.parametrize(
        'path, expected',
        [
            ('/a/b/c', '/a/b/'),
            ('/a/b', '/a/'),
            ('/a/b/c/d/e/f/g/h/i/j/k', '/a/b/'),
            ('/long/prefix/', '/long/prefix/'),
            ('/long/prefix', '/'),
            ('/x', '/'),
            ('', ''),
        ],
    )
    def test_longest_prefix(self, path, expected):
        """Guards against jobs that go to another queue."""
        routing = dispatch.Routing(1, make_routes())
        queue, prefix = dispatch.find_queue(routing, 'h', path)
        assert prefix == expected
        assert (queue.name if queue else '') == expected

    def test_path_of_many_slashes(self):
        """Guards against requests that keep an entry from all others."""
        routes = make_routes()
        routing = dispatch.Routing(1, routes)
        dispatch.find_queue(routing, 'other', '/' * 16_000)
        assert routes.lookups <= len('/long/prefix/')

    def test_path_of_many_slashes_on_a_former_route(self):
        """Guards against the same with cancels."""
        fleet = testing.make_pool(entries=1, speeds=(1.0,))
        node = fleet.entries['e0'].node
        for version, queues in ((2, make_routes()), (3, {})):
            routing = dispatch.Routing(version, queues)
            fleet.driver.feed(
                fleet.entries['e0'], dispatch.RoutingLoaded(routing)
            )
        assert _config.had_route(node, 'h', '/long/prefix/x')
        assert not _config.had_route(node, 'other', '/long/prefix/x')
        node.former_routes = CountingDict(node.former_routes)
        assert not _config.had_route(node, 'other', '/' * 16_000)
        assert node.former_routes.lookups <= len('/long/prefix/')
