package cmdln

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	adapt "github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

type accountCmd struct {
	List   accountList   `cmd:"" help:"List client accounts."`
	Add    accountAdd    `cmd:"" help:"Add a client account without keys and budgets."`
	Set    accountSet    `cmd:"" help:"Change the limits or the weight of a client account."`
	Remove accountRemove `cmd:"" help:"Remove a client account with its keys. Requests in flight finish and settle."`
}

type accountArg struct {
	Account string `arg:"" help:"Client account."`
}

// limitFlags are the flags that set the limits and the weight of an account.
type limitFlags struct {
	Weight      string   `enum:"refusal,overspend," default:"" help:"Which error weighs more: refusal holds more escrow in advance, overspend holds little and settles often (at add: refusal)."`
	Rate        *float64 `placeholder:"N" help:"Requests per second; 0 means no limit."`
	Burst       *int     `placeholder:"N" help:"Requests that may exceed the rate at once; at least 1 with a rate."`
	MaxRunning  *int     `placeholder:"N" help:"Requests in flight at one router; 0 means no limit."`
	Model       []string `placeholder:"NAME" help:"Model that the account may use; may be repeated."`
	AllModels   bool     `help:"Allow every model."`
	Service     []string `placeholder:"NAME" help:"Service that the account may use; may be repeated."`
	AllServices bool     `help:"Allow every service."`
}

func (lf limitFlags) limits() admin.Limits {
	li := admin.Limits{RequestsPerSecond: lf.Rate, Burst: lf.Burst, MaxRunning: lf.MaxRunning}
	if lf.Weight != "" {
		pr := config.Preference(lf.Weight)
		li.Preference = &pr
	}
	if len(lf.Model) > 0 || lf.AllModels {
		models := convertStrings[ident.Model](lf.Model)
		li.Models = &models
	}
	if len(lf.Service) > 0 || lf.AllServices {
		services := convertStrings[ident.Service](lf.Service)
		li.Services = &services
	}
	return li
}

func convertStrings[S ~string](texts []string) []S {
	out := make([]S, 0, len(texts))
	for _, te := range texts {
		out = append(out, S(te))
	}
	return out
}

type accountList struct{}

// Run lists the accounts.
func (accountList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/accounts", func(wr io.Writer, li adapt.List[config.Account]) {
		printTable(wr, "ACCOUNT\tWEIGHT\tRATE\tBURST\tMAX RUNNING\tKEYS\tBUDGETS", func(row func(...any)) {
			for _, ac := range li.Items {
				row(ac.ID, ac.Preference, ac.RequestsPerSecond, ac.Burst, ac.MaxRunning, len(ac.Keys), join(ac.Budgets))
			}
		})
		_, _ = fmt.Fprintf(wr, "revision %d\n", li.Revision)
	})
}

func join[S ~string](items []S) string {
	texts := make([]string, 0, len(items))
	for _, it := range items {
		texts = append(texts, string(it))
	}
	return strings.Join(texts, ",")
}

type accountAdd struct {
	accountArg  `embed:""`
	limitFlags  `embed:""`
	changeFlags `embed:""`
}

// Run adds the account.
func (aa accountAdd) Run(en *env, ad *adminCmd) error {
	body := adapt.AddAccountRequest{ID: ident.Account(aa.Account), Limits: aa.limits()}
	return change(en, ad, http.MethodPost, "/accounts", aa.changeFlags, body)
}

type accountSet struct {
	accountArg  `embed:""`
	limitFlags  `embed:""`
	changeFlags `embed:""`
}

// Run changes the account.
func (as accountSet) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodPatch, admcli.Path("accounts", as.Account), as.changeFlags, as.limits())
}

type accountRemove struct {
	accountArg  `embed:""`
	changeFlags `embed:""`
}

// Run removes the account.
func (ar accountRemove) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodDelete, admcli.Path("accounts", ar.Account), ar.changeFlags, nil)
}

type apiKeyCmd struct {
	List   keyList   `cmd:"" help:"List the hashes of the keys of a client account."`
	Add    keyAdd    `cmd:"" help:"Make an API key and print it this once."`
	Rotate keyRotate `cmd:"" help:"Replace an API key by a new one and print that this once."`
	Revoke keyRevoke `cmd:"" help:"Remove an API key."`
}

type hashArg struct {
	Hash string `arg:"" help:"First digits of the key's hash, at least 8."`
}

type keyList struct {
	accountArg `embed:""`
}

// Run lists the hashes of the account's keys.
func (kl keyList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/accounts", func(wr io.Writer, li adapt.List[config.Account]) {
		for _, ac := range li.Items {
			if string(ac.ID) == kl.Account {
				for _, kh := range ac.Keys {
					_, _ = fmt.Fprintln(wr, kh)
				}
			}
		}
	})
}

func createKey(en *env, ad *adminCmd, path string, cf changeFlags) error {
	rq := admcli.Request{Method: http.MethodPost, Path: path, Query: cf.query()}
	return sendAndPrint(en, ad, rq, func(wr io.Writer, ck admin.CreatedKey) {
		if ck.Key != "" {
			_, _ = fmt.Fprintf(wr, "key: %s\nkeyHash: %s\n", ck.Key, ck.KeyHash)
		}
		printChange(wr, ck.ChangeResult)
		if ck.Repeated {
			_, _ = fmt.Fprintln(wr, "the key is not shown again; revoke it and make another one")
		}
	})
}

type keyAdd struct {
	accountArg  `embed:""`
	changeFlags `embed:""`
}

// Run creates a key.
func (ka keyAdd) Run(en *env, ad *adminCmd) error {
	return createKey(en, ad, admcli.Path("accounts", ka.Account, "keys"), ka.changeFlags)
}

type keyRotate struct {
	accountArg  `embed:""`
	hashArg     `embed:""`
	changeFlags `embed:""`
}

// Run replaces a key.
func (kr keyRotate) Run(en *env, ad *adminCmd) error {
	return createKey(en, ad, admcli.Path("accounts", kr.Account, "keys", kr.Hash, "rotate"), kr.changeFlags)
}

type keyRevoke struct {
	accountArg  `embed:""`
	hashArg     `embed:""`
	changeFlags `embed:""`
}

// Run removes a key.
func (kr keyRevoke) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodDelete, admcli.Path("accounts", kr.Account, "keys", kr.Hash), kr.changeFlags, nil)
}
