"""The HiveServer2 service: its structures, enumerations and methods.

Ids, types and names follow Apache Hive's published interface, `TCLIService.thrift`. Text in result columns is
declared as binary, so that a controller passes it on without decoding it.
"""

from fennelwind.thrift.codec import LIST, STRUCT, Incomplete, Lazy, Malformed, Structure, build, encode, skip

PROTOCOL_COLUMNS = 5  # HIVE_CLI_SERVICE_PROTOCOL_V6: columnar results from this version on
PROTOCOL_NEWEST = 9  # HIVE_CLI_SERVICE_PROTOCOL_V10

# TStatusCode
SUCCESS, SUCCESS_WITH_INFO, STILL_EXECUTING, ERROR, INVALID_HANDLE = range(5)
# TOperationState
INITIALIZED, RUNNING, FINISHED, CANCELED, CLOSED, FAILED, UNKNOWN, PENDING, TIMED_OUT = range(9)
# TOperationType
EXECUTE_STATEMENT, GET_TABLES = 0, 4
# TFetchOrientation
FETCH_NEXT, FETCH_FIRST = 0, 4
# TTypeId
BOOLEAN_TYPE, TINYINT_TYPE, SMALLINT_TYPE, INT_TYPE, BIGINT_TYPE = range(5)
FLOAT_TYPE, DOUBLE_TYPE, STRING_TYPE = 5, 6, 7
# TGetInfoType
CLI_SERVER_NAME, CLI_DBMS_NAME, CLI_DBMS_VER = 13, 17, 18

_HANDLE_ONLY = "1 operationHandle TOperationHandle"
_SESSION_ONLY = "1 sessionHandle TSessionHandle"
_STATUS_ONLY = "1 status TStatus"
_OPERATION = "1 status TStatus; 2 operationHandle TOperationHandle"
_NAMES = "1 sessionHandle TSessionHandle; 2 catalogName string; 3 schemaName string"

TABLES = {
    "TTypeQualifierValue": "1 i32Value i32; 2 stringValue string",
    "TTypeQualifiers": "1 qualifiers map<string,TTypeQualifierValue>",
    "TPrimitiveTypeEntry": "1 type i32; 2 typeQualifiers TTypeQualifiers",
    "TArrayTypeEntry": "1 objectTypePtr i32",
    "TMapTypeEntry": "1 keyTypePtr i32; 2 valueTypePtr i32",
    "TStructTypeEntry": "1 nameToTypePtr map<string,i32>",
    "TUnionTypeEntry": "1 nameToTypePtr map<string,i32>",
    "TUserDefinedTypeEntry": "1 typeClassName string",
    "TTypeEntry": "1 primitiveEntry TPrimitiveTypeEntry; 2 arrayEntry TArrayTypeEntry; "
    "3 mapEntry TMapTypeEntry;"
    "4 structEntry TStructTypeEntry; 5 unionEntry TUnionTypeEntry;"
    "6 userDefinedTypeEntry TUserDefinedTypeEntry",
    "TTypeDesc": "1 types list<TTypeEntry>",
    "TColumnDesc": "1 columnName string; 2 typeDesc TTypeDesc; 3 position i32; 4 comment string",
    "TTableSchema": "1 columns list<TColumnDesc>",
    "TBoolValue": "1 value bool",
    "TByteValue": "1 value byte",
    "TI16Value": "1 value i16",
    "TI32Value": "1 value i32",
    "TI64Value": "1 value i64",
    "TDoubleValue": "1 value double",
    "TStringValue": "1 value binary",
    "TColumnValue": "1 boolVal TBoolValue; 2 byteVal TByteValue; 3 i16Val TI16Value; 4 i32Val TI32Value;"
    "5 i64Val TI64Value; 6 doubleVal TDoubleValue; 7 stringVal TStringValue",
    "TRow": "1 colVals list<TColumnValue>",
    "TBoolColumn": "1 values list<bool>; 2 nulls binary",
    "TByteColumn": "1 values list<byte>; 2 nulls binary",
    "TI16Column": "1 values list<i16>; 2 nulls binary",
    "TI32Column": "1 values list<i32>; 2 nulls binary",
    "TI64Column": "1 values list<i64>; 2 nulls binary",
    "TDoubleColumn": "1 values list<double>; 2 nulls binary",
    "TStringColumn": "1 values list<binary>; 2 nulls binary",
    "TBinaryColumn": "1 values list<binary>; 2 nulls binary",
    "TColumn": "1 boolVal TBoolColumn; 2 byteVal TByteColumn; 3 i16Val TI16Column; 4 i32Val TI32Column;"
    "5 i64Val TI64Column; 6 doubleVal TDoubleColumn; 7 stringVal TStringColumn;"
    "8 binaryVal TBinaryColumn",
    "TRowSet": "1 startRowOffset i64; 2 rows list<TRow>; 3 columns list<TColumn>; 4 binaryColumns binary;"
    "5 columnCount i32",
    "TStatus": "1 statusCode i32; 2 infoMessages list<string>; 3 sqlState string; 4 errorCode i32;"
    "5 errorMessage string",
    "THandleIdentifier": "1 guid binary; 2 secret binary",
    "TSessionHandle": "1 sessionId THandleIdentifier",
    "TOperationHandle": "1 operationId THandleIdentifier; 2 operationType i32; 3 hasResultSet bool;"
    "4 modifiedRowCount double",
    "TOpenSessionReq": "1 client_protocol i32; 2 username string; 3 password string;"
    "4 configuration map<string,string>",
    "TOpenSessionResp": "1 status TStatus; 2 serverProtocolVersion i32; 3 sessionHandle TSessionHandle;"
    "4 configuration map<string,string>",
    "TCloseSessionReq": _SESSION_ONLY,
    "TCloseSessionResp": _STATUS_ONLY,
    "TGetInfoValue": "1 stringValue string; 2 smallIntValue i16; 3 integerBitmask i32; 4 integerFlag i32;"
    "5 binaryValue i32; 6 lenValue i64",
    "TGetInfoReq": "1 sessionHandle TSessionHandle; 2 infoType i32",
    "TGetInfoResp": "1 status TStatus; 2 infoValue TGetInfoValue",
    "TExecuteStatementReq": "1 sessionHandle TSessionHandle; 2 statement string; "
    "3 confOverlay map<string,string>;"
    "4 runAsync bool; 5 queryTimeout i64",
    "TExecuteStatementResp": _OPERATION,
    "TGetTypeInfoReq": _SESSION_ONLY,
    "TGetTypeInfoResp": _OPERATION,
    "TGetCatalogsReq": _SESSION_ONLY,
    "TGetCatalogsResp": _OPERATION,
    "TGetSchemasReq": _NAMES,
    "TGetSchemasResp": _OPERATION,
    "TGetTablesReq": _NAMES + "; 4 tableName string; 5 tableTypes list<string>",
    "TGetTablesResp": _OPERATION,
    "TGetTableTypesReq": _SESSION_ONLY,
    "TGetTableTypesResp": _OPERATION,
    "TGetColumnsReq": _NAMES + "; 4 tableName string; 5 columnName string",
    "TGetColumnsResp": _OPERATION,
    "TGetFunctionsReq": _NAMES + "; 4 functionName string",
    "TGetFunctionsResp": _OPERATION,
    "TGetPrimaryKeysReq": _NAMES + "; 4 tableName string",
    "TGetPrimaryKeysResp": _OPERATION,
    "TGetCrossReferenceReq": "1 sessionHandle TSessionHandle; 2 parentCatalogName string;"
    "3 parentSchemaName string; 4 parentTableName string; "
    "5 foreignCatalogName string; 6 foreignSchemaName string;"
    "7 foreignTableName string",
    "TGetCrossReferenceResp": _OPERATION,
    "TProgressUpdateResp": "1 headerNames list<string>; 2 rows list<list<string>>; "
    "3 progressedPercentage double;"
    "4 status i32; 5 footerSummary string; 6 startTime i64",
    "TGetOperationStatusReq": _HANDLE_ONLY + "; 2 getProgressUpdate bool",
    "TGetOperationStatusResp": "1 status TStatus; 2 operationState i32; 3 sqlState string; 4 errorCode i32;"
    "5 errorMessage string; 6 taskStatus string; 7 operationStarted i64;"
    "8 operationCompleted i64; 9 hasResultSet bool;"
    "10 progressUpdateResponse TProgressUpdateResp; 11 numModifiedRows i64",
    "TCancelOperationReq": _HANDLE_ONLY,
    "TCancelOperationResp": _STATUS_ONLY,
    "TCloseOperationReq": _HANDLE_ONLY,
    "TCloseOperationResp": _STATUS_ONLY,
    "TGetResultSetMetadataReq": _HANDLE_ONLY,
    "TGetResultSetMetadataResp": "1 status TStatus; 2 schema TTableSchema",
    "TFetchResultsReq": _HANDLE_ONLY + "; 2 orientation i32; 3 maxRows i64; 4 fetchType i16",
    "TFetchResultsResp": "1 status TStatus; 2 hasMoreRows bool; 3 results lazy<TRowSet>",
    "TGetDelegationTokenReq": "1 sessionHandle TSessionHandle; 2 owner string; 3 renewer string",
    "TGetDelegationTokenResp": "1 status TStatus; 2 delegationToken string",
    "TCancelDelegationTokenReq": "1 sessionHandle TSessionHandle; 2 delegationToken string",
    "TCancelDelegationTokenResp": _STATUS_ONLY,
    "TRenewDelegationTokenReq": "1 sessionHandle TSessionHandle; 2 delegationToken string",
    "TRenewDelegationTokenResp": _STATUS_ONLY,
    "TGetLogReq": _HANDLE_ONLY,
    "TGetLogResp": "1 status TStatus; 2 log string",
    "TGetQueryIdReq": _HANDLE_ONLY,
    "TGetQueryIdResp": "1 queryId string",
    "TSetClientInfoReq": "1 sessionHandle TSessionHandle; 2 configuration map<string,string>",
    "TSetClientInfoResp": _STATUS_ONLY,
}

METHODS = tuple(name[1:-3] for name in TABLES if name.endswith("Req"))
CODECS = build(TABLES)

TStatus = CODECS["TStatus"].make
THandleIdentifier = CODECS["THandleIdentifier"].make
TSessionHandle = CODECS["TSessionHandle"].make
TOperationHandle = CODECS["TOperationHandle"].make
TOpenSessionReq = CODECS["TOpenSessionReq"].make
TOpenSessionResp = CODECS["TOpenSessionResp"].make
TCloseSessionReq = CODECS["TCloseSessionReq"].make
TGetInfoReq = CODECS["TGetInfoReq"].make
TGetInfoResp = CODECS["TGetInfoResp"].make
TGetInfoValue = CODECS["TGetInfoValue"].make
TExecuteStatementReq = CODECS["TExecuteStatementReq"].make
TExecuteStatementResp = CODECS["TExecuteStatementResp"].make
TGetOperationStatusReq = CODECS["TGetOperationStatusReq"].make
TGetOperationStatusResp = CODECS["TGetOperationStatusResp"].make
TProgressUpdateResp = CODECS["TProgressUpdateResp"].make
TCancelOperationReq = CODECS["TCancelOperationReq"].make
TCloseOperationReq = CODECS["TCloseOperationReq"].make
TGetResultSetMetadataReq = CODECS["TGetResultSetMetadataReq"].make
TGetResultSetMetadataResp = CODECS["TGetResultSetMetadataResp"].make
TFetchResultsReq = CODECS["TFetchResultsReq"].make
TFetchResultsResp = CODECS["TFetchResultsResp"].make
TRowSet = CODECS["TRowSet"].make
TColumn = CODECS["TColumn"].make
TTableSchema = CODECS["TTableSchema"].make
TColumnDesc = CODECS["TColumnDesc"].make
TTypeDesc = CODECS["TTypeDesc"].make
TTypeEntry = CODECS["TTypeEntry"].make
TPrimitiveTypeEntry = CODECS["TPrimitiveTypeEntry"].make


def row_count(page: Structure | Lazy) -> int:
    """Return the number of rows of a page, without decoding it. Raises `Malformed`.

    For a columnar page this is the length of its first column.
    """
    if isinstance(page, Structure):
        page = Lazy(CODECS["TRowSet"], encode(CODECS["TRowSet"], page))
    raw, pos = page.raw, 0
    count = 0
    try:
        while raw[pos] != 0:
            code, number, pos = raw[pos], int.from_bytes(raw[pos + 1 : pos + 3], "big"), pos + 3
            if (code, number) == (LIST, 2):
                count = max(count, int.from_bytes(raw[pos + 1 : pos + 5], "big"))
            elif (code, number) == (LIST, 3) and any(raw[pos + 1 : pos + 5]):
                # `head` has four headers: of the list of columns, of the first column's only field, of the
                # first field in that field's struct, and of the list of values in this first field.
                head = raw[pos : pos + 16]
                if head[5] != STRUCT or head[8:11] != b"\x0f\0\1":  # the fields have another order
                    return _decoded_count(page.value)
                return int.from_bytes(head[12:16], "big")
            pos = skip(raw, pos, code)
    except (IndexError, Incomplete):
        raise Malformed("a page that ends early") from None
    return count


def _decoded_count(page: Structure) -> int:
    for column in page.columns or ():
        for field in column.FIELDS:
            values = getattr(column, field.name)
            if values is not None:
                return len(values.values or ())
    return 0


def make(name: str, **fields: object) -> object:
    """Return a new structure of the type with this name, for types without a constant above."""
    return CODECS[name].make(**fields)
