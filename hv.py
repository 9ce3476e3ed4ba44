import sys
flags=sys.argv[1]; seeds=eval(sys.argv[2]); cv=float(sys.argv[3]); sys.argv=['x','0','0','0']
src=open('/tmp/helpers/cand.py').read()
body=src[src.index("C=R.Controller"):src.index("kept={}")]
exec(open('/tmp/helpers/s7.py').read().split('\nif __name__')[0])
exec(body); kept={}
RR.Controller=make(flags.split('+')); rows=[]
for s in seeds:
    p,r=dform(s); p=p.but(load_cv=cv)
    w=play(p,r,s); n=w.ledger.nearest() or (0,None); rows.append((round(n[0],2),s,p.load,p.proxies,round(max(x.flows for x in w.proxies),1),n[1] and (n[1].endpoint,round(n[1].age/SECOND,1),round(n[1].ratio,2))))
rows.sort(reverse=True); print(flags,cv,"broken",sum(x[0]>1 for x in rows),rows[:8])
