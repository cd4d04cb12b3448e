# Turns on every optional part of bayford, whatever its benchmark results, for trials and for sites that want
# them. deploy/policy.star, which `run` uses, describes each setting.
#
#     python3 run.py --config settings.toml --script deploy/all-parts.star

spread = True
spread_restarts = {name: 2 for name in site["classes"]}
recovery = True
admission = True
