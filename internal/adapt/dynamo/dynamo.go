// Package dynamo implements the table port over the public DynamoDB JSON
// protocol.
package dynamo

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Table is a store.Table. A key is split at its first "/" into the partition
// key and the sort key, so that a scan of "area/..." is a Query of one
// partition. The attributes of an item are pk, sk, val and version.
type Table struct {
	base     string
	name     string
	maxBytes int64
	hc       *http.Client
}

var _ store.Table = (*Table)(nil)

// Option configures a Table.
type Option func(*Table)

// WithName sets the name of the table. The default is "balsamwood".
func WithName(name string) Option { return func(ta *Table) { ta.name = name } }

// WithMaxBytes sets the maximum size of a response in bytes. The default is 8 MiB;
// DynamoDB limits a page to 1 MB before encoding.
func WithMaxBytes(n int64) Option { return func(ta *Table) { ta.maxBytes = n } }

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(ta *Table) { ta.hc = hc } }

// New returns the table at the base URL.
func New(baseURL string, opts ...Option) *Table {
	ta := &Table{base: strings.TrimSuffix(baseURL, "/") + "/", name: "balsamwood", maxBytes: 8 << 20}
	for _, opt := range opts {
		opt(ta)
	}
	if ta.hc == nil {
		ta.hc = client.New()
	}
	return ta
}

// Get returns the row and whether it exists.
func (ta *Table) Get(ctx context.Context, key string) (store.Item, bool, error) {
	pk, sk, err := splitKey(key)
	if err != nil {
		return store.Item{}, false, err
	}
	var out struct{ Item attrs }
	req := getRequest{TableName: ta.name, Key: keyAttrs(pk, sk), ConsistentRead: true}
	if err := ta.read(ctx, "GetItem", req, &out); err != nil {
		return store.Item{}, false, err
	}
	if len(out.Item) == 0 {
		return store.Item{}, false, nil
	}
	it, err := out.Item.item()
	return it, err == nil, err
}

// Scan returns up to limit rows whose keys start with prefix and sort after
// the key after, in key order. A limit below 1 returns all of them.
func (ta *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	pk, rest, ok := strings.Cut(prefix, "/")
	if !ok || pk == "" {
		return nil, fmt.Errorf("%w: prefix %q has no partition key", store.ErrUnavailable, prefix)
	}
	req := queryRequest{
		TableName: ta.name, ConsistentRead: true, KeyConditionExpression: "pk = :p",
		ExpressionAttributeValues: attrs{":p": text(pk)},
	}
	if rest != "" {
		req.KeyConditionExpression += " AND begins_with(sk, :s)"
		req.ExpressionAttributeValues[":s"] = text(rest)
	}
	if sk, ok := strings.CutPrefix(after, pk+"/"); ok && strings.HasPrefix(after, prefix) && sk != "" {
		req.ExclusiveStartKey = keyAttrs(pk, sk)
	} else if after > prefix && !strings.HasPrefix(after, prefix) {
		return nil, nil
	}
	return ta.queryPages(ctx, req, limit)
}

// queryPages reads pages until the query or the limit is complete.
func (ta *Table) queryPages(ctx context.Context, req queryRequest, limit int) ([]store.Item, error) {
	var items []store.Item
	for {
		if limit > 0 {
			req.Limit = limit - len(items)
		}
		var out queryResponse
		if err := ta.read(ctx, "Query", req, &out); err != nil {
			return nil, err
		}
		for _, at := range out.Items {
			it, err := at.item()
			if err != nil {
				return nil, err
			}
			items = append(items, it)
		}
		if len(out.LastEvaluatedKey) == 0 || (limit > 0 && len(items) >= limit) {
			return items, nil
		}
		if reflect.DeepEqual(req.ExclusiveStartKey, out.LastEvaluatedKey) {
			// Without this check, a scan of a faulty table would never end.
			return nil, fmt.Errorf("%w: Query: LastEvaluatedKey equals ExclusiveStartKey", store.ErrUnavailable)
		}
		req.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

// Commit applies all writes or none. The request is sent at most once.
func (ta *Table) Commit(ctx context.Context, writes ...store.Write) error {
	if len(writes) == 0 || len(writes) > store.MaxWrites {
		return fmt.Errorf("%w: %d writes in a commit, 1 to %d are allowed", store.ErrUnavailable, len(writes), store.MaxWrites)
	}
	req := transactRequest{TransactItems: make([]transactItem, 0, len(writes))}
	for _, wr := range writes {
		ti, err := ta.toTransactItem(wr)
		if err != nil {
			return err
		}
		req.TransactItems = append(req.TransactItems, ti)
	}
	return ta.write(ctx, "TransactWriteItems", req)
}

// toTransactItem returns the part of the transaction for one write.
func (ta *Table) toTransactItem(wr store.Write) (transactItem, error) {
	pk, sk, err := splitKey(wr.Key)
	if err != nil {
		return transactItem{}, err
	}
	op := &operation{TableName: ta.name, ConditionExpression: "attribute_not_exists(pk)"}
	if wr.IfVersion != store.Absent {
		op.ConditionExpression = "version = :v"
		op.ExpressionAttributeValues = attrs{":v": number(wr.IfVersion)}
	}
	key := keyAttrs(pk, sk)
	switch wr.Mode {
	case store.Put:
		op.Item = key
		op.Item["version"] = number(wr.IfVersion + 1)
		op.Item["val"] = binary(wr.Value)
		return transactItem{Put: op}, nil
	case store.Delete:
		op.Key = key
		return transactItem{Delete: op}, nil
	case store.Check:
		op.Key = key
		return transactItem{ConditionCheck: op}, nil
	default:
		return transactItem{}, fmt.Errorf("%w: unknown write mode %d", store.ErrUnavailable, wr.Mode)
	}
}

// splitKey returns the partition key and the sort key of a key.
func splitKey(key string) (pk, sk string, err error) {
	pk, sk, _ = strings.Cut(key, "/")
	if pk == "" || sk == "" {
		return "", "", fmt.Errorf("%w: key %q has no partition key or no sort key", store.ErrUnavailable, key)
	}
	return pk, sk, nil
}
