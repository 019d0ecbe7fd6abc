"""The limit: one central queue that knows every free slot at once."""
import heapq


def central_queue_waits(jobs, slots):
    """Waits in seconds of (arrival, service) jobs, first come first served."""
    free_times = [0.0] * slots
    heapq.heapify(free_times)
    waits = []
    for arrival, service in jobs:
        start = max(arrival, heapq.heappop(free_times))
        waits.append(start - arrival)
        heapq.heappush(free_times, start + service)
    return waits


def percentile(values, share):
    """The value below which the share in [0, 1] of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
