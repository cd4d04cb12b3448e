# Every part of bayford turned on, whatever the bench says of it: for trials, and for sites that want them.
# What each setting is for is said in deploy/policy.star, which `run` uses.
#
#     python3 run.py --config settings.toml --script deploy/all-parts.star

spread = True
spread_restarts = {name: 2 for name in site["classes"]}
recovery = True
admission = True
