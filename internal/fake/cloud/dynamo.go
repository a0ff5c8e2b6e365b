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
	// maxTableBytes bounds the body of a request to the table. The public limit
	// of a transaction is 4 MB.
	maxTableBytes = 8 << 20
	maxItems      = 100

	ifAbsent    = "attribute_not_exists(pk)"
	ifVersion   = "version = :v"
	byPartition = "pk = :p"
	byPrefix    = "pk = :p AND begins_with(sk, :s)"
)

// attr is an attribute value of the DynamoDB JSON protocol.
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

type queryResponse struct {
	Items            []attrs
	Count            int
	ScannedCount     int
	LastEvaluatedKey attrs `json:",omitempty"`
}

type transactRequest struct {
	TransactItems []struct {
		Put            *transactOp
		Delete         *transactOp
		ConditionCheck *transactOp
	}
}

type transactOp struct {
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

func validationError(text string) *tableError {
	return &tableError{Type: "com.amazon.coral.validate#ValidationException", Message: text}
}

func (cl *Cloud) serveTable(wr http.ResponseWriter, re *http.Request) {
	resp, applied, err := cl.runTableCall(wr, re)
	if applied && cl.faults.LoseResponse() {
		cl.counts.lost.Add(1)
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
		resp = te
	}
	wr.Header().Set("Content-Type", contentType)
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(resp)
}

func (cl *Cloud) runTableCall(wr http.ResponseWriter, re *http.Request) (resp any, applied bool, err error) {
	if re.Method != http.MethodPost || re.Header.Get("Content-Type") != contentType {
		return nil, false, validationError("POST with content type " + contentType + " is required")
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxTableBytes))
	if err != nil {
		return nil, false, validationError(err.Error())
	}
	switch strings.TrimPrefix(re.Header.Get("X-Amz-Target"), targetPrefix) {
	case "GetItem":
		resp, err = decodeAndRun(body, cl.getItem)
		return resp, false, err
	case "Query":
		resp, err = decodeAndRun(body, cl.query)
		return resp, false, err
	case "TransactWriteItems":
		resp, err = decodeAndRun(body, cl.transact)
		return resp, err == nil, err
	default:
		return nil, false, &tableError{Type: "com.amazon.coral.service#UnknownOperationException"}
	}
}

// decodeAndRun decodes the request and runs the operation.
func decodeAndRun[Q, R any](body []byte, op func(Q) (R, error)) (any, error) {
	var req Q
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, &tableError{Type: "com.amazon.coral.service#SerializationException", Message: err.Error()}
	}
	return op(req)
}

func (cl *Cloud) allowRead() error {
	cl.counts.reads.Add(1)
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
	pk, sk, ok := itemKey(req.Key)
	if !ok || len(req.Key) != 2 {
		return out, validationError("The provided key element does not match the schema")
	}
	if row, ok := cl.table.get(pk, sk); ok {
		out.Item = rowToItem(row)
	}
	return out, nil
}

func (cl *Cloud) query(req queryRequest) (queryResponse, error) {
	if err := cl.allowRead(); err != nil {
		return queryResponse{}, err
	}
	vals := req.ExpressionAttributeValues
	pk, prefix := vals[":p"].S, vals[":s"].S
	switch {
	case pk == nil || *pk == "":
		return queryResponse{}, validationError("missing partition key")
	case req.KeyConditionExpression == byPartition && prefix == nil:
		prefix = new(string)
	case req.KeyConditionExpression != byPrefix || prefix == nil || *prefix == "":
		return queryResponse{}, validationError("Invalid KeyConditionExpression")
	}
	after := ""
	if req.ExclusiveStartKey != nil {
		from, sk, ok := itemKey(req.ExclusiveStartKey)
		if !ok || from != *pk || !strings.HasPrefix(sk, *prefix) {
			return queryResponse{}, validationError("The provided starting key is outside query boundaries based on provided conditions")
		}
		after = sk
	}
	limit := cl.pageSize
	if req.Limit > 0 {
		limit = min(limit, req.Limit)
	}
	rows, more := cl.table.query(*pk, *prefix, after, limit)
	out := queryResponse{Items: make([]attrs, 0, len(rows)), Count: len(rows), ScannedCount: len(rows)}
	for _, row := range rows {
		out.Items = append(out.Items, rowToItem(row))
	}
	if more {
		last := rows[len(rows)-1]
		out.LastEvaluatedKey = attrs{"pk": {S: &last.Partition}, "sk": {S: &last.Sort}}
	}
	return out, nil
}

func (cl *Cloud) transact(req transactRequest) (struct{}, error) {
	cl.counts.commits.Add(1)
	if len(req.TransactItems) == 0 || len(req.TransactItems) > maxItems {
		return struct{}{}, validationError("a transaction has 1 to 100 items")
	}
	writes := make([]write, 0, len(req.TransactItems))
	seen := make(map[[2]string]bool)
	for _, it := range req.TransactItems {
		wr, err := opToWrite(it.Put, it.Delete, it.ConditionCheck)
		if err != nil {
			return struct{}{}, err
		}
		key := [2]string{wr.row.Partition, wr.row.Sort}
		if seen[key] {
			return struct{}{}, validationError("Transaction request cannot include multiple operations on one item")
		}
		seen[key] = true
		writes = append(writes, wr)
	}
	cl.counts.writes.Add(int64(len(writes)))
	if !cl.allow(cl.writes, cl.limits.Load().WritesPerSecond, len(writes)) {
		return struct{}{}, &tableError{Type: typePrefix + "ThrottlingException", Message: "write rate exceeded"}
	}
	failed, ok := cl.table.commit(writes)
	if ok {
		return struct{}{}, nil
	}
	cl.counts.conflicts.Add(1)
	return struct{}{}, canceledError(failed)
}

func canceledError(failed []bool) *tableError {
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

func opToWrite(pu, de, ch *transactOp) (write, error) {
	var wr write
	var op *transactOp
	switch {
	case pu != nil && de == nil && ch == nil:
		op, wr.kind = pu, put
		op.Key = op.Item
	case de != nil && pu == nil && ch == nil:
		op, wr.kind = de, del
	case ch != nil && pu == nil && de == nil:
		op, wr.kind = ch, check
	default:
		return wr, validationError("exactly one of Put, Delete and ConditionCheck is required")
	}
	pk, sk, ok := itemKey(op.Key)
	if !ok {
		return wr, validationError("The provided key element does not match the schema")
	}
	wr.row = Row{Partition: pk, Sort: sk}
	if wr.kind == put {
		vers, ok := parseNumber(op.Item["version"])
		val := op.Item["val"].B
		if !ok || val == nil {
			return wr, validationError("Supplied AttributeValue is empty, must contain exactly one of the supported datatypes")
		}
		wr.row.Version, wr.row.Value = vers, *val
	}
	return wr, setCondition(op, &wr)
}

func setCondition(op *transactOp, wr *write) error {
	switch op.ConditionExpression {
	case ifAbsent:
		return nil
	case ifVersion:
		want, ok := parseNumber(op.ExpressionAttributeValues[":v"])
		if !ok {
			return validationError("the expression value :v is missing")
		}
		wr.wantVersion = &want
		return nil
	default:
		return validationError("Invalid ConditionExpression")
	}
}

func itemKey(at attrs) (pk, sk string, ok bool) {
	pa, so := at["pk"].S, at["sk"].S
	if pa == nil || so == nil || *pa == "" || *so == "" {
		return "", "", false
	}
	return *pa, *so, true
}

func parseNumber(at attr) (uint64, bool) {
	if at.N == nil {
		return 0, false
	}
	n, err := strconv.ParseUint(*at.N, 10, 64)
	return n, err == nil
}

func rowToItem(row Row) attrs {
	vers := strconv.FormatUint(row.Version, 10)
	return attrs{"pk": {S: &row.Partition}, "sk": {S: &row.Sort}, "version": {N: &vers}, "val": {B: &row.Value}}
}
