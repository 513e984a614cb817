"""Test what must always hold under random faults, from fixed seeds."""

import pytest

from tests.lib.fault_run import run_faults

SECONDS = 10.0


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_violate_no_guarantee(tmp_path, seed):
    """Processes are killed and frozen, and the key-value service fails, under load.

    A caller might see its bid confirmed twice, be told that it did not run when it
    did, get another caller's answer or a short one that looks whole; an operator might
    see an accepted cell go back. `./dev bench faults` runs more seeds for longer.
    """
    report = run_faults(tmp_path, seed=seed, seconds=SECONDS)
    assert report.violations == []
    assert report.bids_answered
    assert report.streams_whole


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_and_store_returns_violate_no_guarantee(tmp_path, seed):
    """Guards against promises broken as the key-value service loses what it had."""
    report = run_faults(tmp_path, seed=seed, seconds=SECONDS, returns=True)
    assert report.violations == []
    assert report.returns
    assert report.streams_whole
