"""The guarantees of the system as checks, for the fault matrix and stateful tests.

A check raises an `AssertionError` that describes the violation.
"""


def one_vote_per_term(granted):
    """Check that a replica votes for at most one candidate in each term.

    Parameters
    ----------
    granted : iterable of (term, candidate)
        The votes that one replica granted.
    """
    votes = {}
    for term, candidate in granted:
        first = votes.setdefault(term, candidate)
        assert first == candidate, f"term {term}: voted for {first} and {candidate}"


def never_reverts(versions):
    """Check that the version in force never decreases.

    Parameters
    ----------
    versions : iterable of int
        Versions in force, in the order in which they were observed.
    """
    highest = None
    for version in versions:
        assert highest is None or version >= highest, f"{version} after {highest}"
        highest = version


def committed_entries_stay(before, after):
    """Check that the entries applied before are a prefix of those applied later."""
    assert after[: len(before)] == before, f"{before} is not a prefix of {after}"


def acknowledged_entries_stay(acknowledged, held):
    """Check that no acknowledged entry is missing from a log."""
    missing = [entry for entry in acknowledged if entry not in held]
    assert not missing, f"acknowledged but lost: {missing}"


def runs_at_most_once(runs):
    """Check that no non-idempotent request runs more than once.

    Parameters
    ----------
    runs : mapping of key to int
        Number of runs of each key, counted by the endpoints.
    """
    repeated = {key: count for key, count in runs.items() if count > 1}
    assert not repeated, f"ran more than once: {repeated}"


def not_run_is_accurate(outcomes, runs):
    """Check that no key whose last reported outcome is `not-run` has run.

    Parameters
    ----------
    outcomes : iterable of (key, outcome)
        Outcomes reported to the caller, in order.
    runs : mapping of key to int
        Number of runs of each key, counted by the endpoints.
    """
    reported = {}
    for key, outcome in outcomes:
        reported.setdefault(key, []).append(outcome)
    for key, found in reported.items():
        if found[-1] == "not-run":
            assert not runs.get(key), f"{key}: reported not-run, ran {runs[key]} times"


def one_pool_each(dispatches):
    """Check that dispatchers never send work of two pools to an instance at once.

    Once work of another pool has started on an instance, no more work of the earlier
    pool may start there.

    Parameters
    ----------
    dispatches : iterable of (time, instance, pool)
        Dispatched work, in the order in which it started.
    """
    seen = {}
    for _, instance, pool in dispatches:
        pools = seen.setdefault(instance, [])
        if not pools or pools[-1] != pool:
            assert pool not in pools, f"{instance}: {pool} again after {pools[-1]}"
            pools.append(pool)


def no_dispatch_under_older_version(acted_version, dispatchers):
    """Check that nothing is dispatched under versions older than the one acted on.

    Parameters
    ----------
    acted_version : int
        Newest version that control has acted on.
    dispatchers : iterable of (name, version, may_dispatch)
        Every dispatcher, the version it uses, and whether it may dispatch now.
    """
    behind = [n for n, version, may in dispatchers if may and version < acted_version]
    assert not behind, f"control acted on {acted_version}; {behind} may still dispatch"


def within_budget(available, budgets):
    """Check that every pool has the minimum number of available instances.

    Parameters
    ----------
    available, budgets : mapping of pool to int
        Available instances and required minimum of each pool.
    """
    short = {
        p: available.get(p, 0) for p, n in budgets.items() if available.get(p, 0) < n
    }
    assert not short, f"pools below their minimum: {short}, budgets {budgets}"
