"""Set the constants of shares, with what they cost and what they bound.

A customer's limits hold for all entries together. Most of each limit, the pool, is
given out by one aggregating entry a customer, in leased grants that follow demand; the
rest, the reserve, is split evenly, so that each entry has a safe share that it needs
nobody's leave for.

What may be in force, as a fraction of a limit:

- At most 1 while the entries' lists of each other differ for less than LIST_LAG_S:
  safe shares add up to RESERVE, grants to 1 - RESERVE. Lost, late and doubled messages,
  deaths and cut-off entries change nothing: a grant ends by itself, sooner at its
  holder than at its giver.
- While entries join, RESERVE * joined / known more, for as long as lists lag.
- When lists differ for longer, each entry that takes itself for the aggregating one
  gives out (1 - RESERVE) * (live in its list) / (known in its list): still at most 1
  when the lists are parts of one whole, as in a partition; each list that is not
  adds its part. An entry that has left counts as known for KNOWN_S; one that is at
  work for longer, and that nobody sees, adds its safe share.
- One request an entry beyond that, for concurrency and tokens, and one request of
  burst: a limit can't be split into less than whole requests.

What it costs at 960 entries and 360 customers, in bytes both ways: an ask costs two
greetings of 196, the question of 140 and the answer of 116 for one customer, and about
six heartbeats of 92 until its connection closes: 1.2 KB. The lease grows by
LEASE_PER_HOLDER_S with each holder of the giver's, and is renewed after three quarters,
so at most 1.3 asks a second reach a giver, 1.6 KB/s. With every customer at its limit
at every entry, an entry sends 360 asks in 720 s, 0.6 KB/s. In the mean that is 1.2 KB/s
of the 6 KB/s for control, as 360 givers are spread over 960 entries; the giver of one
customer has 2.2 KB/s, and the few givers of three up to 5.4 KB/s, in that extreme.
Below the safe share nothing is sent. A long lease does little harm where it applies:
many holders have small grants, and what a death keeps from the others is at most one
second of the whole limit, or ten seconds of its share.
"""

# Enough for a trickle at each entry that can reach nobody, little enough to leave most
# of a limit to wherever the demand is.
RESERVE = 0.2
MIN_LEASE_S = 10.0
MAX_LEASE_S = 960.0
LEASE_PER_HOLDER_S = 1.0
# Renewed in time for two more asks when the first is lost, at the shortest lease.
RENEW_SHARE = 0.75
# The platform's list is fetched every second and lags; a giver that has just taken
# over waits this long beyond the longest lease, because its predecessor may give on.
LIST_LAG_S = 5.0
# An entry that vanishes from the list may be at work for a while yet, behind a
# partition. Its part is kept free for the shortest lease and the lag, twice; longer
# would keep a fourth of a limit from callers whenever one of four entries is replaced.
ENTRY_RETENTION_S = 20.0
# Demand is measured each second; a grant follows it in steps, not with each request.
HEADROOM = 1.25
GROWTH = 1.1
SHRINKAGE = 0.5
MIN_ASK_INTERVAL_S = 2.0


def get_longest_lease(known: int) -> float:
    """Return the longest lease that is given among so many entries."""
    return max(MIN_LEASE_S, min(MAX_LEASE_S, LEASE_PER_HOLDER_S * known))
