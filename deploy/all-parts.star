# Every part of bayford turned on, whatever its figures on the bench: for trials, and for sites that want them.
# deploy/policy.star, which `run` uses, says what each setting is for.
#
#     python3 run.py --config settings.toml --script deploy/all-parts.star

spread = True
spread_restarts = {name: 2 for name in site["classes"]}
recovery = True
admission = True
