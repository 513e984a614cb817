"""Test the guarantees that hold under random faults, with fixed seeds."""

import pytest

from tests.lib.fault_run import run_faults

SECONDS = 10.0


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_violate_no_guarantee(tmp_path, seed):
    """Guard against wrong answers when processes or the key-value service fail.

    Processes are killed and stopped under load. A bid could be confirmed twice or be
    reported as not run although it ran, a caller could get another caller's answer or a
    truncated one that looks complete, and an accepted cell could revert.
    `./dev bench faults` runs more seeds for longer.
    """
    report = run_faults(tmp_path, seed=seed, seconds=SECONDS)
    assert report.violations == []
    assert report.bids_answered
    assert report.streams_whole


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_and_store_returns_violate_no_guarantee(tmp_path, seed):
    """Guard against violations when the key-value service loses its data."""
    report = run_faults(tmp_path, seed=seed, seconds=SECONDS, returns=True)
    assert report.violations == []
    assert report.returns
    assert report.streams_whole
