"""Tests of the page that compares decisions on load patterns."""

import click.testing

from benchmarks import bench_overload


class TestMain:
    def test_page(self, monkeypatch, tmp_path):
        """Guards against a page that lacks a pattern or its drawing."""
        name = 'workers of unequal speed'
        kept = {name: bench_overload.PATTERNS[name]}
        monkeypatch.setattr(bench_overload, 'PATTERNS', kept)
        output = tmp_path / 'page' / 'overload.html'
        found = click.testing.CliRunner().invoke(
            bench_overload.main, ['--seeds', '1', '--output', str(output)]
        )
        assert found.exit_code == 0, found.output
        page = output.read_text()
        assert f'<h2>{name}</h2>' in page
        assert page.count('src="data:image/png;base64,') == 1
        assert 'without  in time' in found.output


class TestPatterns:
    def test_replaced_attributes_exist(self):
        """Guards against a comparison that replaces nothing."""
        for pattern in bench_overload.PATTERNS.values():
            for target, name, _ in pattern.without:
                assert hasattr(target, name), (target, name)
