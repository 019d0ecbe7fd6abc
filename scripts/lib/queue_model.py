"""An ideal queue to compare waits with: one central queue for all slots."""
import heapq


def central_queue_waits(jobs, slots):
    """Returns the wait of each job in seconds, first come first served.

    `jobs` holds (arrival, service time) pairs in seconds, in order of arrival.
    """
    free_times = [0.0] * slots
    heapq.heapify(free_times)
    waits = []
    for arrival, service in jobs:
        start = max(arrival, heapq.heappop(free_times))
        waits.append(start - arrival)
        heapq.heappush(free_times, start + service)
    return waits


def percentile(values, share):
    """Returns the value below which a `share` in [0, 1] of `values` lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
