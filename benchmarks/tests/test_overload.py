"""Tests of the page that compares policies under load scenarios."""

import click.testing

from benchmarks import bench_overload


class TestMain:
    def test_page(self, monkeypatch, tmp_path):
        """Guards against a page that omits a scenario or its plot."""
        name = 'workers of unequal speed'
        scenarios = {name: bench_overload.SCENARIOS[name]}
        monkeypatch.setattr(bench_overload, 'SCENARIOS', scenarios)
        output = tmp_path / 'page' / 'overload.html'
        result = click.testing.CliRunner().invoke(
            bench_overload.main, ['--seeds', '1', '--output', str(output)]
        )
        assert result.exit_code == 0, result.output
        page = output.read_text()
        assert f'<h2>{name}</h2>' in page
        assert page.count('src="data:image/png;base64,') == 1
        assert 'without  in time' in result.output


class TestPatterns:
    def test_replaced_attributes_exist(self):
        """Guards against replacements of attributes that don't exist."""
        for scenario in bench_overload.SCENARIOS.values():
            for module, name, _ in scenario.replacements:
                assert hasattr(module, name), (module, name)
