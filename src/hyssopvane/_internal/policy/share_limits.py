"""Define the constants of shares, with their costs and bounds.

A customer's limits apply to all entries together. Most of each limit, the pool, is
granted by one aggregating entry per customer, in leases that follow demand. The rest,
the reserve, is split evenly, so that each entry has a safe share that needs no grant.

What may be in force, as a fraction of a limit:

- At most 1 while the entries' lists of each other differ for less than LIST_LAG_S: safe
  shares add up to RESERVE, grants to 1 - RESERVE. Lost, late and duplicated messages,
  crashes and cut-off entries change nothing: a grant ends by itself, sooner at its
  holder than at its granter.
- While entries join, RESERVE * joined / known more, for as long as lists lag.
- When lists differ for longer, each entry that considers itself the aggregating one
  grants (1 - RESERVE) * (live in its list) / (known in its list). That is still at most
  1 when the lists are parts of one whole, as in a partition; each list that is not adds
  its part. An entry that has left counts as known for ENTRY_RETENTION_S; one that works
  for longer without being listed adds its safe share.

In addition one request per entry, for concurrency and tokens, and one request of burst:
a limit can't be split into less than whole requests.

Costs at 960 entries and 360 customers, in bytes both ways: a request costs two
greetings of 196, the question of 140 and the answer of 116 for one customer, and about
six heartbeats of 92 until its connection closes: 1.2 KB. The lease grows by
LEASE_PER_HOLDER_S with each holder of the granter, and is renewed after three quarters,
so a granter receives at most 1.3 requests a second, 1.6 KB/s. With every customer at
its limit at every entry, an entry sends 360 requests in 720 s, 0.6 KB/s. On average
that is 1.2 KB/s of the 6 KB/s for control, as 360 granters are spread over 960 entries.
In that extreme the granter of one customer uses 2.2 KB/s, and the few granters of three
customers up to 5.4 KB/s. Below the safe share nothing is sent. A long lease does little
harm where it applies: many holders have small grants, and a crashed entry withholds
from the others at most one second of the whole limit, or ten seconds of its share.
"""

# Enough for a few requests at each entry that can reach no other, and small enough to
# leave most of a limit to the entries with demand.
RESERVE = 0.2
MIN_LEASE_S = 10.0
MAX_LEASE_S = 960.0
LEASE_PER_HOLDER_S = 1.0
# Early enough for two more requests when the first is lost, at the shortest lease.
RENEW_SHARE = 0.75
# The platform's list is fetched every second and lags. A new granter waits this long
# beyond the longest lease, because its predecessor may still grant.
LIST_LAG_S = 5.0
# An entry that is removed from the list may still work, behind a partition. Its part is
# reserved for the shortest lease and the lag, twice. A longer time would withhold a
# fourth of a limit from callers whenever one of four entries is replaced.
ENTRY_RETENTION_S = 20.0
# Demand is measured each second; a grant follows it in steps, not with each request.
HEADROOM = 1.25
GROWTH = 1.1
SHRINKAGE = 0.5
MIN_REQUEST_INTERVAL_S = 2.0


def get_longest_lease(known: int) -> float:
    """Return the longest lease in seconds for a number of known entries."""
    return max(MIN_LEASE_S, min(MAX_LEASE_S, LEASE_PER_HOLDER_S * known))
