"""The policy script: settings, forbidden operations, and errors that name the line or the setting."""

from pathlib import Path

import pytest
from cluster_helpers import VALID_SETTINGS

from bayford import cli, config
from bayford.scheduling.policy import Policy, setting_name
from bayford.script import evaluate, load

OBJECTIVE = '[[facts.objectives]]\nkind = "finished"\nclass = "sweep"\nwithin_s = 80.0\nshare = 0.8\n'


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
def test_an_invalid_script_setting_stops_the_program_and_is_named(
    verb: str, line: str, field: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings, script = tmp_path / "settings.toml", tmp_path / "p.star"
    settings.write_text(VALID_SETTINGS + OBJECTIVE)
    script.write_text(line + "\n")
    assert cli.main([verb, "--config", str(settings), "--script", str(script)]) == 2
    assert field in capsys.readouterr().err


@pytest.mark.parametrize("script", ["policy.star", "all-parts.star"])
def test_the_shipped_scripts_are_valid(
    script: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "settings.toml"
    settings.write_text(VALID_SETTINGS + OBJECTIVE)
    shipped = Path(__file__).parent.parent / "deploy" / script
    assert cli.main(["check-config", "--config", str(settings), "--script", str(shipped)]) == 0
    policy = load(str(shipped), config.parse(VALID_SETTINGS + OBJECTIVE))
    assert policy.spread == policy.admission == (script == "all-parts.star")
    assert policy.spread_restarts == ({"sweep": 2} if policy.spread else {})


def test_job_classes_without_an_objective_may_be_added() -> None:
    text = 'extra_classes = ["trickle"]\nspread_restarts = {"trickle": 3}\n'
    assert evaluate(text, "p.star", config.parse(VALID_SETTINGS)).spread_restarts == {"trickle": 3}


def test_the_script_sets_the_policy() -> None:
    text = "_n = len(site['zones'])\nif _n == 2:\n    aging_s = 7\npreempt_per_round = 2 * _n\n"
    policy = evaluate(text, "p.star", config.parse(VALID_SETTINGS))
    assert policy == Policy(aging_s=7.0, preempt_per_round=4)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("aging_s = 1\nagin_s = 2\n", "p.star:2"),
        ("x = \n", "p.star:1"),
        ("aging_s = 1 / 0\n", "p.star:1"),
        ("load('os', 'x')\n", "p.star"),
        ("aging_s = open('/etc/passwd')\n", "p.star:1"),
        ("aging_s = 'long'\n", "aging_s"),
        ("aging_s = -1.0\n", "aging_s"),
        ("guarantee_first = 3\n", "guarantee_first"),
    ],
)
def test_an_error_of_the_script_names_the_line_or_the_setting(text: str, expected: str) -> None:
    with pytest.raises(config.SettingsError) as caught:
        evaluate(text, "p.star", config.parse(VALID_SETTINGS))
    assert expected in str(caught.value)


def test_check_config_refuses_an_invalid_script(tmp_path: Path) -> None:
    settings, script = tmp_path / "s.toml", tmp_path / "p.star"
    settings.write_text(VALID_SETTINGS)
    script.write_text("aging_s = nothing\n")
    assert cli.main(["check-config", "--config", str(settings), "--script", str(script)]) == 2


def test_the_shipped_script_documents_every_default() -> None:
    shipped = (Path(__file__).parent.parent / "deploy" / "policy.star").read_text()
    lines = [ln[2:] for ln in shipped.splitlines() if ln.startswith("# ") and " = " in ln]
    text = "\n".join(ln.split("#")[0] for ln in lines)
    assert evaluate(text, "p.star", config.parse(VALID_SETTINGS)) == Policy()
    assert all(any(ln.startswith(f"{setting_name(f)} =") for ln in lines) for f in Policy.__slots__)
