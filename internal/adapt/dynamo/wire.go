package dynamo

import (
	"fmt"
	"strconv"

	"github.com/balsamwood/balsamwood/internal/port/store"
)

// attr is an attribute value. B is a pointer, so that an empty value is not
// omitted.
type attr struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type attrs map[string]attr

type getRequest struct {
	TableName      string
	Key            attrs
	ConsistentRead bool
}

type queryRequest struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeValues attrs
	ExclusiveStartKey         attrs `json:",omitempty"`
	Limit                     int   `json:",omitempty"`
}

type queryResponse struct {
	Items            []attrs
	LastEvaluatedKey attrs
}

type transactRequest struct{ TransactItems []transactItem }

type transactItem struct {
	Put            *operation `json:",omitempty"`
	Delete         *operation `json:",omitempty"`
	ConditionCheck *operation `json:",omitempty"`
}

type operation struct {
	TableName                 string
	Item                      attrs `json:",omitempty"`
	Key                       attrs `json:",omitempty"`
	ConditionExpression       string
	ExpressionAttributeValues attrs `json:",omitempty"`
}

type errorResponse struct {
	Type    string `json:"__type"`
	Message string
	Reasons []struct{ Code string } `json:"CancellationReasons"`
}

func text(val string) attr { return attr{S: &val} }

func number(val uint64) attr {
	dec := strconv.FormatUint(val, 10)
	return attr{N: &dec}
}

// binary returns a binary attribute. For nil it is empty, because JSON would encode
// nil as null.
func binary(val []byte) attr {
	if val == nil {
		val = []byte{}
	}
	return attr{B: &val}
}

func keyAttrs(pk, sk string) attrs { return attrs{"pk": text(pk), "sk": text(sk)} }

// item returns the row that the attributes represent.
func (at attrs) item() (store.Item, error) {
	pk, sk, vers := at["pk"].S, at["sk"].S, at["version"].N
	if pk == nil || sk == nil || vers == nil {
		return store.Item{}, fmt.Errorf("%w: an item has no pk, sk or version", store.ErrUnavailable)
	}
	num, err := strconv.ParseUint(*vers, 10, 64)
	if err != nil {
		return store.Item{}, fmt.Errorf("%w: version of %s/%s: %w", store.ErrUnavailable, *pk, *sk, err)
	}
	it := store.Item{Key: *pk + "/" + *sk, Version: num}
	if val := at["val"].B; val != nil {
		it.Value = *val
	}
	return it, nil
}
