package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// convergeTime is ConvergeMs of the site.
const convergeTime = 2 * time.Second

// lastTenantRemoved removes the only tenant by a new version of the config. Then clients
// come with its key and with a key that no config ever held.
func lastTenantRemoved(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	te := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: 50_000_000}
	fl.configure(7, te)
	for no := range 2 {
		if _, err := fl.addEngine(fmt.Sprintf("i-aace57a%d", no), app, runAction); err != nil {
			return verdict{}, err
		}
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2"); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	if trouble {
		fl.rec.printf("the config takes the tenant away")
		fl.configure(9)
	}
	if err := sleep(ctx, 2*convergeTime); err != nil {
		return verdict{}, err
	}
	ran := 0
	for no := range 20 {
		ca := call{id: fmt.Sprintf("u%04d", no), path: actionPath, key: "neverheldbyanyone", deadline: 2500 * time.Millisecond}
		if an := ca.send(ctx, fl.routers[no%len(fl.routers)]); an.status == http.StatusOK {
			ran++
		}
	}
	return verdict{broken: ran > 0, text: fmt.Sprintf("%d of 20 requests ran with a key that no config ever held", ran)}, nil
}
