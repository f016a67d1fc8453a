"""Routes whose requests must stay in certain regions.

A route may name the regions in which its requests may be run. `places` knows in which
region a data centre is, and `rules` decides which targets and instances may get a
request and which targets may own the keys of a service. A data centre whose region is
not known is outside of all of them. An instance that passes a request on sends the
allowed regions along, since the other instance may know an older configuration.
"""
