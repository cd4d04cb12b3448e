"""A settings file with a wrong value stops `check-config` and the start, naming the field."""

import re
from pathlib import Path

import pytest
from fakes.cluster import SETTINGS

from bayford import cli, config
from bayford.script import evaluate, load

GOOD = SETTINGS.format(name="n9", zone="north", writes=15.0, value_kb=8.0, cancel_s=42.0, next_limits="")
LIMITS = "[facts.machine_limits]\ncore_share = 0.18\nmem_mb = 146.0\nfd_limit = 900\n"
AIM = '[[facts.objectives]]\nkind = "finished"\nclass = "sweep"\nwithin_s = 80.0\nshare = 0.8\n'


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("cpus = 4.0", "cpus = -4.0", "facts.teams[0].cpus"),
        ("cpus_max = 16.0", "cpus_max = -1.0", "facts.teams[1].cpus_max"),
        ("gpus_max = 2.0", "gpus_max = nan", "facts.teams[1].gpus_max"),
        ('name = "blue"', 'name = "red"', "facts.teams"),
        ('site = "north"\nfront', 'site = "east"\nfront', "site"),
        ('site = "north"\nendpoint', 'site = "east"\nendpoint', "seeds[0].site"),
        ('member = "n0"', 'member = "n9"', "seeds[0].member"),
        ('zones = ["north", "south"]', 'zones = ["north", "north", "south"]', "facts.zones"),
        ('zones = ["north", "south"]', "zones = []", "facts.zones"),
        ("nodes = 3", "nodes = 0", "facts.nodes"),
        ("report_s = 2.0", "report_s = -2.0", "facts.workers.report_s"),
        ("lease_s = 12.0", "lease_s = inf", "facts.workers.lease_s"),
        ("list_lag_s = 6.0", "list_lag_s = -6.0", "facts.cloud.list_lag_s"),
        ("fd_limit = 900", "fd_limit = 0", "facts.machine_limits.fd_limit"),
        ("core_share = 0.18", "core_share = -0.18", "facts.machine_limits.core_share"),
        ("within_s = 80.0", "within_s = -1.0", "facts.objectives[0].within_s"),
        ("share = 0.8", "share = -0.8", "facts.objectives[0].share"),
    ],
)
@pytest.mark.parametrize("verb", ["check-config", "serve"])
def test_a_wrong_value_is_named(verb, old, new, field, tmp_path, capsys):
    text = GOOD + LIMITS + AIM
    config.parse(text)
    assert old in text
    path = tmp_path / "settings.toml"
    path.write_text(text.replace(old, new, 1))
    assert cli.main([verb, "--config", str(path)]) == 2
    complaint = capsys.readouterr().err
    assert re.search(re.escape(f"`$.{field}`"), complaint), complaint


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("spred = True", "spred"),
        ("spread = 1", "spread"),
        ("spread_load_s = -1.0", "spread_load_s"),
        ("spread_fetch_weight = -0.1", "spread_fetch_weight"),
        ("spread_threshold = 0.5", "spread_threshold"),
        ("spread_candidates = 2.5", "spread_candidates"),
        ("spread_restarts_default = 1.5", "spread_restarts_default"),
        ('spread_restarts = {"sweep": 1.5}', "spread_restarts['sweep']"),
        ('spread_restarts = {"sweep": -1}', "spread_restarts['sweep']"),
        ('spread_restarts = {"sweep": True}', "spread_restarts['sweep']"),
        ('spread_restarts = {"seep": 1}', "spread_restarts: 'seep'"),
        ('spread_restarts = ["sweep"]', "spread_restarts"),
        ('spread_lossy = ["seep"]', "spread_lossy: 'seep'"),
        ("spread_lossy = [1]", "spread_lossy"),
        ("admission = 1", "admission"),
        ("admission_accept_share = 1.1", "admission_accept_share"),
        ("admission_floor = 0.0", "admission_floor"),
        ("admission_interval_s = 0.0", "admission_interval_s"),
        ("admission_turn_s = -1.0", "admission_turn_s"),
        ("admission_leave = 1.5", "admission_leave"),
        ('admission_floors = {"sweep": 1.5}', "admission_floors['sweep']"),
        ('admission_floors = {"seep": 0.1}', "admission_floors: 'seep'"),
        ('admission_floors = {"sweep": 0.1, "sweep": 0.2}', "p.star:1"),
        ('extra_classes = ["a"]\nadmission_floors = {"sweep": 0.6, "a": 0.6}', "admission_floors"),
    ],
)
@pytest.mark.parametrize("verb", ["check-config", "serve"])
def test_a_wrong_setting_is_named(verb, line, field, tmp_path, capsys):
    settings, script = tmp_path / "settings.toml", tmp_path / "p.star"
    settings.write_text(GOOD + AIM)
    script.write_text(line + "\n")
    assert cli.main([verb, "--config", str(settings), "--script", str(script)]) == 2
    assert field in capsys.readouterr().err


@pytest.mark.parametrize("script", ["policy.star", "all-parts.star"])
def test_the_scripts_that_are_shipped_are_good(script, tmp_path, capsys):
    settings = tmp_path / "settings.toml"
    settings.write_text(GOOD + AIM)
    shipped = Path(__file__).parent.parent / "deploy" / script
    assert cli.main(["check-config", "--config", str(settings), "--script", str(shipped)]) == 0
    policy = load(str(shipped), config.parse(GOOD + AIM))
    assert policy.spread == policy.admission == (script == "all-parts.star")
    assert policy.spread_restarts == ({"sweep": 2} if policy.spread else {})


def test_classes_that_no_aim_names_may_be_added():
    text = 'extra_classes = ["trickle"]\nspread_restarts = {"trickle": 3}\n'
    assert evaluate(text, "p.star", config.parse(GOOD)).spread_restarts == {"trickle": 3}
