"""A settings file with a wrong value stops `check-config` and the start, naming the field."""

import re

import pytest
from world import SETTINGS

from bayford import cli, config

GOOD = SETTINGS.format(name="n9", zone="north", writes=15.0, value_kb=8.0, cancel_s=42.0, coming="")
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
