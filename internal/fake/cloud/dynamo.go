package cloud

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	targetPrefix = "DynamoDB_20120810."
	contentType  = "application/x-amz-json-1.0"
	typePrefix   = "com.amazonaws.dynamodb.v20120810#"
	// maxTableBytes bounds a request; the public limit of a transaction is
	// 4 MB.
	maxTableBytes = 8 << 20
	maxItems      = 100

	ifAbsent  = "attribute_not_exists(pk)"
	ifVersion = "version = :v"
	byPart    = "pk = :p"
	byPrefix  = "pk = :p AND begins_with(sk, :s)"
)

// attr is an attribute value.
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
	ExclusiveStartKey         attrs
	Limit                     int
}

type queryAnswer struct {
	Items            []attrs
	Count            int
	ScannedCount     int
	LastEvaluatedKey attrs `json:",omitempty"`
}

type transactRequest struct {
	TransactItems []struct {
		Put            *part
		Delete         *part
		ConditionCheck *part
	}
}

type part struct {
	TableName                 string
	Item                      attrs
	Key                       attrs
	ConditionExpression       string
	ExpressionAttributeValues attrs
}

type cancelReason struct {
	Code    string
	Message string `json:",omitempty"`
}

type tableError struct {
	Type    string         `json:"__type"`
	Message string         `json:"Message"`
	Reasons []cancelReason `json:"CancellationReasons,omitempty"`
}

func (te *tableError) Error() string { return te.Type + ": " + te.Message }

func invalid(text string) *tableError {
	return &tableError{Type: "com.amazon.coral.validate#ValidationException", Message: text}
}

func (cl *Cloud) serveTable(wr http.ResponseWriter, re *http.Request) {
	answer, effect, err := cl.callTable(wr, re)
	if effect && cl.faults.Lose() {
		cl.count.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if err != nil {
		status = http.StatusBadRequest
		var te *tableError
		if !errors.As(err, &te) {
			status = http.StatusInternalServerError
			te = &tableError{Type: typePrefix + "InternalServerError", Message: err.Error()}
		}
		answer = te
	}
	wr.Header().Set("Content-Type", contentType)
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(answer)
}

func (cl *Cloud) callTable(wr http.ResponseWriter, re *http.Request) (answer any, effect bool, err error) {
	if re.Method != http.MethodPost || re.Header.Get("Content-Type") != contentType {
		return nil, false, invalid("POST with content type " + contentType + " is required")
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxTableBytes))
	if err != nil {
		return nil, false, invalid(err.Error())
	}
	switch strings.TrimPrefix(re.Header.Get("X-Amz-Target"), targetPrefix) {
	case "GetItem":
		answer, err = call(body, cl.getItem)
		return answer, false, err
	case "Query":
		answer, err = call(body, cl.query)
		return answer, false, err
	case "TransactWriteItems":
		answer, err = call(body, cl.transact)
		return answer, err == nil, err
	default:
		return nil, false, &tableError{Type: "com.amazon.coral.service#UnknownOperationException"}
	}
}

// call decodes the request and runs the operation.
func call[Q, A any](body []byte, op func(Q) (A, error)) (any, error) {
	var req Q
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, &tableError{Type: "com.amazon.coral.service#SerializationException", Message: err.Error()}
	}
	return op(req)
}

func (cl *Cloud) allowRead() error {
	cl.count.reads.Add(1)
	if !cl.allow(cl.reads, cl.limits.Load().ReadsPerSecond, 1) {
		return &tableError{Type: typePrefix + "ProvisionedThroughputExceededException", Message: "read rate exceeded"}
	}
	return nil
}

func (cl *Cloud) getItem(req getRequest) (struct {
	Item attrs `json:",omitempty"`
}, error) {
	var out struct {
		Item attrs `json:",omitempty"`
	}
	if err := cl.allowRead(); err != nil {
		return out, err
	}
	pk, sk, ok := keyOf(req.Key)
	if !ok || len(req.Key) != 2 {
		return out, invalid("The provided key element does not match the schema")
	}
	if row, ok := cl.table.get(pk, sk); ok {
		out.Item = itemOf(row)
	}
	return out, nil
}

func (cl *Cloud) query(req queryRequest) (queryAnswer, error) {
	if err := cl.allowRead(); err != nil {
		return queryAnswer{}, err
	}
	vals := req.ExpressionAttributeValues
	pk, prefix := vals[":p"].S, vals[":s"].S
	switch {
	case pk == nil || *pk == "":
		return queryAnswer{}, invalid("missing partition key")
	case req.KeyConditionExpression == byPart && prefix == nil:
		prefix = new(string)
	case req.KeyConditionExpression != byPrefix || prefix == nil || *prefix == "":
		return queryAnswer{}, invalid("Invalid KeyConditionExpression")
	}
	after := ""
	if req.ExclusiveStartKey != nil {
		from, sk, ok := keyOf(req.ExclusiveStartKey)
		if !ok || from != *pk || !strings.HasPrefix(sk, *prefix) {
			return queryAnswer{}, invalid("The provided starting key is outside query boundaries based on provided conditions")
		}
		after = sk
	}
	limit := cl.page
	if req.Limit > 0 {
		limit = min(limit, req.Limit)
	}
	rows, more := cl.table.query(*pk, *prefix, after, limit)
	out := queryAnswer{Items: make([]attrs, 0, len(rows)), Count: len(rows), ScannedCount: len(rows)}
	for _, row := range rows {
		out.Items = append(out.Items, itemOf(row))
	}
	if more {
		last := rows[len(rows)-1]
		out.LastEvaluatedKey = attrs{"pk": {S: &last.Partition}, "sk": {S: &last.Sort}}
	}
	return out, nil
}

func (cl *Cloud) transact(req transactRequest) (struct{}, error) {
	cl.count.commits.Add(1)
	if len(req.TransactItems) == 0 || len(req.TransactItems) > maxItems {
		return struct{}{}, invalid("a transaction has 1 to 100 items")
	}
	writes := make([]write, 0, len(req.TransactItems))
	seen := make(map[[2]string]bool)
	for _, it := range req.TransactItems {
		wr, err := writeOf(it.Put, it.Delete, it.ConditionCheck)
		if err != nil {
			return struct{}{}, err
		}
		key := [2]string{wr.row.Partition, wr.row.Sort}
		if seen[key] {
			return struct{}{}, invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[key] = true
		writes = append(writes, wr)
	}
	cl.count.writes.Add(int64(len(writes)))
	if !cl.allow(cl.writes, cl.limits.Load().WritesPerSecond, len(writes)) {
		return struct{}{}, &tableError{Type: typePrefix + "ThrottlingException", Message: "write rate exceeded"}
	}
	failed, ok := cl.table.commit(writes)
	if ok {
		return struct{}{}, nil
	}
	cl.count.conflicts.Add(1)
	return struct{}{}, cancelled(failed)
}

func cancelled(failed []bool) *tableError {
	te := &tableError{
		Type:    typePrefix + "TransactionCanceledException",
		Message: "Transaction cancelled, please refer cancellation reasons for specific reasons",
	}
	for _, fa := range failed {
		re := cancelReason{Code: "None"}
		if fa {
			re = cancelReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
		}
		te.Reasons = append(te.Reasons, re)
	}
	return te
}

func writeOf(pu, de, ch *part) (write, error) {
	var wr write
	var pa *part
	switch {
	case pu != nil && de == nil && ch == nil:
		pa, wr.kind = pu, put
		pa.Key = pa.Item
	case de != nil && pu == nil && ch == nil:
		pa, wr.kind = de, del
	case ch != nil && pu == nil && de == nil:
		pa, wr.kind = ch, check
	default:
		return wr, invalid("exactly one of Put, Delete and ConditionCheck is required")
	}
	pk, sk, ok := keyOf(pa.Key)
	if !ok {
		return wr, invalid("The provided key element does not match the schema")
	}
	wr.row = Row{Partition: pk, Sort: sk}
	if wr.kind == put {
		vers, ok := number(pa.Item["version"])
		val := pa.Item["val"].B
		if !ok || val == nil {
			return wr, invalid("Supplied AttributeValue is empty, must contain exactly one of the supported datatypes")
		}
		wr.row.Version, wr.row.Value = vers, *val
	}
	return wr, condition(pa, &wr)
}

func condition(pa *part, wr *write) error {
	switch pa.ConditionExpression {
	case ifAbsent:
		return nil
	case ifVersion:
		want, ok := number(pa.ExpressionAttributeValues[":v"])
		if !ok {
			return invalid("the expression value :v is missing")
		}
		wr.want = &want
		return nil
	default:
		return invalid("Invalid ConditionExpression")
	}
}

func keyOf(at attrs) (pk, sk string, ok bool) {
	pa, so := at["pk"].S, at["sk"].S
	if pa == nil || so == nil || *pa == "" || *so == "" {
		return "", "", false
	}
	return *pa, *so, true
}

func number(at attr) (uint64, bool) {
	if at.N == nil {
		return 0, false
	}
	n, err := strconv.ParseUint(*at.N, 10, 64)
	return n, err == nil
}

func itemOf(row Row) attrs {
	vers := strconv.FormatUint(row.Version, 10)
	return attrs{"pk": {S: &row.Partition}, "sk": {S: &row.Sort}, "version": {N: &vers}, "val": {B: &row.Value}}
}
