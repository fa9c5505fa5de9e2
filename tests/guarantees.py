"""Each promise, stated once; the tests of the fault matrix use these checks.

A check raises `AssertionError` with what was broken.
"""


def one_vote_per_term(granted):
    """No replica votes for two candidates in one term.

    Parameters
    ----------
    granted : iterable of (term, candidate)
    """
    votes = {}
    for term, candidate in granted:
        chosen = votes.setdefault(term, candidate)
        assert chosen == candidate, f"term {term}: voted for {chosen} and {candidate}"


def never_reverts(versions):
    """What is in force never goes back."""
    highest = None
    for version in versions:
        assert highest is None or version >= highest, f"{version} after {highest}"
        highest = version


def committed_entries_stay(before, after):
    """What was applied is a prefix of what is applied later."""
    assert after[: len(before)] == before, f"{before} is no prefix of {after}"


def acknowledged_entries_stay(acknowledged, held):
    """Every entry that was acknowledged is held."""
    missing = [entry for entry in acknowledged if entry not in held]
    assert not missing, f"acknowledged but lost: {missing}"


def runs_at_most_once(runs):
    """No non-idempotent request runs twice.

    Parameters
    ----------
    runs : mapping of key to number of runs, counted by the endpoints
    """
    doubled = {key: count for key, count in runs.items() if count > 1}
    assert not doubled, f"run more than once: {doubled}"


def not_run_is_accurate(outcomes, runs):
    """A key of which every answer said `not-run` never ran.

    Parameters
    ----------
    outcomes : iterable of (key, outcome)
    runs : mapping of key to number of runs, counted by the endpoints
    """
    said = {}
    for key, outcome in outcomes:
        said.setdefault(key, []).append(outcome)
    for key, found in said.items():
        if found[-1] == "not-run":
            assert not runs.get(key), f"{key}: said not-run, ran {runs[key]} times"


def one_pool_each(dispatches):
    """No two dispatchers send new work of different pools to one instance.

    Parameters
    ----------
    dispatches : iterable of (time, instance, pool)
        In the order in which the work started; a pool's work on an instance must
        not start again once another pool's has.
    """
    seen = {}
    for _, instance, pool in dispatches:
        pools = seen.setdefault(instance, [])
        if not pools or pools[-1] != pool:
            assert pool not in pools, f"{instance}: {pool} again after {pools[-1]}"
            pools.append(pool)


def no_dispatch_under_older_version(acted_version, dispatchers):
    """Once control has acted on a version, nobody dispatches under an older one.

    Parameters
    ----------
    dispatchers : iterable of (name, version, may_dispatch)
    """
    behind = [n for n, version, may in dispatchers if may and version < acted_version]
    assert not behind, f"acted on {acted_version}; {behind} may dispatch behind it"


def within_budget(available, budgets):
    """Every pool has at least as many available instances as its budget asks.

    Parameters
    ----------
    available, budgets : mapping of pool to number
    """
    short = {
        p: available.get(p, 0) for p, n in budgets.items() if available.get(p, 0) < n
    }
    assert not short, f"below the budget: {short}, budgets {budgets}"
