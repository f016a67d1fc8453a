"""Evacuation of a data centre at the operator's request.

A row of the store asks that nothing more be sent to the targets of a data centre until
the row is removed. Each instance applies the row itself, in `evacuations`: requests
without a key go elsewhere at once, and requests for keys stop before the time is up
that the platform allows. Until then, the coordinator moves the key ranges to other data
centres, a limited number at a time; `emptying` chooses them.
"""
